#include <daemon/agent_context.hpp>

namespace agateseam
{

bool attempt_table::begin(const attempt_id& id, time_point now)
{
    const std::scoped_lock hold(this->mutex);
    return this->records.emplace(id, attempt_record{false, run_state::unknown, now})
        .second;
}

void attempt_table::end(const attempt_id& id, run_state run, time_point now)
{
    const std::scoped_lock hold(this->mutex);
    this->records[id] = {true, run, now};
}

result<attempt_record> attempt_table::find(const attempt_id& id) const
{
    const std::scoped_lock hold(this->mutex);
    const auto found = this->records.find(id);
    if (found == this->records.end())
    {
        return fail(error_code::not_found, "find attempt", "",
                    "no such attempt is known");
    }
    return found->second;
}

void attempt_table::forget_before(time_point limit)
{
    const std::scoped_lock hold(this->mutex);
    std::erase_if(this->records, [&](const auto& item)
                  { return item.second.ended && item.second.when < limit; });
}

result<std::unique_ptr<agent_context>>
agent_context::create(const daemon_settings& settings)
{
    auto client = http_client::create({});
    if (!client)
    {
        return tl::unexpected<error>(client.error());
    }
    std::unique_ptr<agent_context> context(new agent_context);
    context->settings = settings;
    context->client = std::move(*client);
    context->incarnation =
        static_cast<std::uint64_t>(context->time.wall_now().time_since_epoch().count());
    context->telemetry = std::make_unique<process_telemetry>(settings, context->time,
                                                             context->incarnation);
    return context;
}

bool agent_context::take_slot()
{
    std::uint32_t held = this->used.load();
    do
    {
        if (held >= this->settings.backend.slots || this->leaving)
        {
            return false;
        }
    } while (!this->used.compare_exchange_weak(held, held + 1));
    return true;
}

void agent_context::release_slot()
{
    --this->used;
}

load_report agent_context::report()
{
    load_report report;
    report.vm = this->settings.vm;
    report.sequence = ++this->sequence;
    report.incarnation = this->incarnation;
    report.kind = this->settings.backend.kind;
    report.pool = this->settings.backend.pool;
    report.failure_domain = this->settings.failure_domain;
    report.slots = this->settings.backend.slots;
    report.used = this->used;
    report.queued = this->waiting;
    report.queued_tokens = this->waiting_tokens;
    report.tokens_per_second = this->settings.backend.tokens_per_second;
    report.leaving = this->leaving;
    return report;
}

http_header agent_context::load_header()
{
    return {std::string(headers::load), to_text(this->report())};
}

void agent_context::listen(std::weak_ptr<heartbeat_listener> listener)
{
    const std::scoped_lock hold(this->mutex);
    this->listeners.push_back(std::move(listener));
}

void agent_context::beat()
{
    std::vector<std::shared_ptr<heartbeat_listener>> alive;
    {
        const std::scoped_lock hold(this->mutex);
        std::erase_if(this->listeners, [](const auto& item) { return item.expired(); });
        for (const auto& item : this->listeners)
        {
            if (auto listener = item.lock())
            {
                alive.push_back(std::move(listener));
            }
        }
    }
    for (const auto& listener : alive)
    {
        listener->on_heartbeat();
    }
}

} // namespace agateseam
