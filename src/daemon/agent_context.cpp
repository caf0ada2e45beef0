#include <daemon/agent_context.hpp>

#include <nlohmann/json.hpp>

#include <net/log.hpp>

namespace agateseam
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds initial_token_gap{39}; ///< Used until answers have been measured.
/// How long an engine keeps the result of a prefill.
constexpr milliseconds kv_lifetime{900};
constexpr std::uint32_t prefill_slots = 1; ///< An engine runs one prefill at a time.
/// The accepted probability that a slot which is promised while in use is free too late.
constexpr double max_late_probability = 0.1;
constexpr milliseconds engine_timeout{2'000};
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

scheduler_options scheduler_options_of(const daemon_settings& settings)
{
    const backend_settings& backend = settings.backend;
    const bool prefill = backend.kind == backend_kind::prefill;
    scheduler_options options;
    options.slots = prefill ? prefill_slots : backend.slots;
    options.max_queued_attempts = backend.queue_limit;
    options.kv_lifetime = kv_lifetime;
    options.lease_lifetime = settings.limits.lease_lifetime;
    options.max_late_probability = prefill ? 0 : max_late_probability;
    return options;
}

duration prefill_time_per_token(const backend_settings& backend)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / backend.tokens_per_second));
}

} // namespace

result<std::unique_ptr<agent_context>>
agent_context::create(const daemon_settings& settings)
{
    auto client = http_client::create({});
    if (!client)
    {
        return tl::unexpected<error>(client.error());
    }
    std::unique_ptr<agent_context> context(new agent_context(settings));
    context->client = std::move(*client);
    auto slots = slot_service::create(scheduler_options_of(settings), context->time);
    if (!slots)
    {
        return tl::unexpected<error>(slots.error());
    }
    context->slots = std::move(*slots);
    context->ready = settings.backend.kind == backend_kind::service;
    context->incarnation =
        static_cast<std::uint64_t>(context->time.wall_now().time_since_epoch().count());
    context->telemetry = std::make_unique<process_telemetry>(settings, context->time,
                                                             context->incarnation);
    return context;
}

agent_context::agent_context(const daemon_settings& initial_settings)
    : settings(initial_settings)
    , estimator(initial_token_gap, prefill_time_per_token(initial_settings.backend))
{
}

void agent_context::drain()
{
    this->draining = true;
    this->slots->drain();
}

bool agent_context::reconcile()
{
    const bool service = this->settings.backend.kind == backend_kind::service;
    http_call list;
    list.url = this->settings.backend.url + (service ? "/healthz" : "/requests");
    list.step = "reconcile";
    list.max_body_bytes = max_backend_answer_bytes;
    list.total_timeout = engine_timeout;
    const auto reply = this->client->fetch(std::move(list));
    if (!reply || service || reply->status != status_ok)
    {
        return reply && (service || reply->status == status_not_found);
    }
    const auto ids = nlohmann::json::parse(reply->body, nullptr, false);
    for (const auto& id : ids)
    {
        if (id.is_string())
        {
            this->abort_at_engine(id.get<std::string>());
        }
    }
    return ids.is_array() && ids.empty();
}

void agent_context::abort_at_engine(const std::string& engine_id)
{
    http_call abort;
    abort.method = "POST";
    abort.url = this->settings.backend.url + "/abort";
    abort.step = "cancel";
    abort.max_body_bytes = max_backend_answer_bytes;
    abort.total_timeout = engine_timeout;
    abort.body = nlohmann::json{{"request_id", engine_id}}.dump();
    abort.fresh_connection = true;
    this->client->fetch_async(std::move(abort),
                              [this, engine_id](const result<http_reply>& reply)
                              {
                                  const bool retry =
                                      !reply &&
                                      reply.error().code != error_code::unavailable &&
                                      reply.error().code != error_code::cancelled;
                                  if (retry)
                                  {
                                      log_error("cancel failed", reply.error());
                                      const std::scoped_lock lock(this->mutex);
                                      this->unconfirmed_aborts.insert(engine_id);
                                  }
                              });
}

bool agent_context::accept_generation(std::uint64_t received)
{
    std::uint64_t newest = this->generation.load();
    do
    {
        if (received < newest)
        {
            return false;
        }
    } while (!this->generation.compare_exchange_weak(newest, received));
    return true;
}

void agent_context::note_backend_error(const error& fault)
{
    if (fault.code == error_code::unavailable)
    {
        this->ready = false;
    }
}

bool agent_context::try_take_service_slot()
{
    std::uint32_t held = this->service_slots_used.load();
    do
    {
        if (held >= this->settings.backend.slots || this->draining)
        {
            return false;
        }
    } while (!this->service_slots_used.compare_exchange_weak(held, held + 1));
    return true;
}

void agent_context::release_service_slot()
{
    --this->service_slots_used;
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
    const bool prefill = report.kind == backend_kind::prefill;
    const scheduler_load load = this->slots->load();
    report.slots = prefill ? prefill_slots : this->settings.backend.slots;
    report.used = this->service_slots_used + load.used;
    report.queued = load.queued;
    report.queued_tokens = static_cast<std::uint64_t>(load.queued_tokens);
    report.tokens_per_second = this->settings.backend.tokens_per_second;
    report.leaving = this->draining || !this->ready;
    return report;
}

http_header agent_context::load_header()
{
    return {std::string(headers::load), to_text(this->report())};
}

void agent_context::add_heartbeat_listener(std::weak_ptr<heartbeat_listener> listener)
{
    const std::scoped_lock lock(this->mutex);
    this->listeners.push_back(std::move(listener));
}

void agent_context::run_heartbeat()
{
    std::vector<std::shared_ptr<heartbeat_listener>> live_listeners;
    std::set<std::string> aborts;
    {
        const std::scoped_lock lock(this->mutex);
        std::erase_if(this->listeners, [](const auto& item) { return item.expired(); });
        for (const auto& item : this->listeners)
        {
            if (auto listener = item.lock())
            {
                live_listeners.push_back(std::move(listener));
            }
        }
        aborts.swap(this->unconfirmed_aborts);
    }
    for (const std::string& engine_id : aborts)
    {
        this->abort_at_engine(engine_id);
    }
    for (const auto& listener : live_listeners)
    {
        listener->on_heartbeat();
    }
}

} // namespace agateseam
