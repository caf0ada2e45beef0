#include <daemon/agent_context.hpp>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_not_found = 404;

} // namespace

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
    return context;
}

bool agent_context::take_slot()
{
    std::uint32_t held = this->used.load();
    do
    {
        if (held >= this->settings.backend.slots || this->leaving || !this->backend_ready)
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

bool agent_context::lapsed(const attempt_id& id) const
{
    const auto record = this->attempts.find(id);
    return record && !record->ended &&
           this->time.now() - record->when > this->settings.limits.lease;
}

void agent_context::note_backend(const error& fault)
{
    if (fault.code == error_code::unavailable)
    {
        this->backend_ready = false;
    }
}

void agent_context::reconcile()
{
    const bool service = this->settings.backend.kind == backend_kind::service;
    http_call list;
    list.url = this->settings.backend.url + (service ? "/healthz" : "/requests");
    list.step = "reconcile";
    list.total_timeout = this->settings.limits.silence;
    this->client->fetch_async(std::move(list),
                              [this, service](const result<http_reply>& reply)
                              {
                                  if (reply && reply->status == status_ok && !service)
                                  {
                                      this->cancel_all(reply->body);
                                  }
                                  else if (reply &&
                                           (service || reply->status == status_not_found))
                                  {
                                      this->backend_ready = true;
                                  }
                              });
}

void agent_context::cancel_all(const std::string& request_ids)
{
    const auto ids = nlohmann::json::parse(request_ids, nullptr, false);
    if (ids.is_array() && ids.empty())
    {
        this->backend_ready = true;
    }
    for (const auto& id : ids)
    {
        http_call abort;
        abort.method = "POST";
        abort.url = this->settings.backend.url + "/abort";
        abort.step = "reconcile";
        abort.total_timeout = this->settings.limits.silence;
        abort.body = nlohmann::json{{"request_id", id}}.dump();
        this->client->fetch_async(std::move(abort), [](const result<http_reply>&) {});
    }
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
    report.leaving = this->leaving || !this->backend_ready;
    return report;
}

http_header agent_context::load_header()
{
    return {std::string(headers::load), to_text(this->report())};
}

} // namespace agateseam
