#include <gateway/prompt_prefiller.hpp>

#include <algorithm>

#include <gateway/decode_place.hpp>
#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

constexpr int status_ok = 200;
/// Prefill servers that are tried for one prompt; the second may be unreachable, too.
constexpr std::uint32_t max_servers_tried = 2;

} // namespace

prompt_prefiller::prompt_prefiller(request_scope& request)
    : scope(&request)
    , state(request.state)
    , engines(&request.state->engines(request.service))
{
}

task<std::string> prompt_prefiller::run(std::optional<std::int64_t> last_event_number,
                                        std::optional<name_key> version)
{
    std::vector<std::string> tried;
    this->is_cancelled = false;
    for (std::uint32_t attempt = 0;
         attempt < max_servers_tried && !this->is_cancelled &&
         !this->scope->exchange->disconnected() && boot_now() < this->scope->deadline;
         ++attempt)
    {
        const auto candidate = this->choose(tried, version);
        if (!candidate || this->scope->part_block_in_force() != nullptr ||
            !this->may_call_server())
        {
            break;
        }
        this->state->health.record_choice(candidate->id, boot_now());
        std::string source = co_await this->prefill_on(candidate, last_event_number);
        if (!source.empty())
        {
            co_return source;
        }
        tried.push_back(candidate->id);
    }
    co_return "";
}

std::shared_ptr<const backend_server>
prompt_prefiller::choose(const std::vector<std::string>& tried,
                         std::optional<name_key> version) const
{
    const time_point now = boot_now();
    return this->engines->placement.choose_prefill(
        this->state->settings.failure_domain, this->state->random(),
        [this, now, &tried, version](const backend_server& candidate)
        {
            const std::string& id = candidate.id;
            return (!version || candidate.version_key == *version) &&
                   this->scope->region.allows(candidate) &&
                   std::find(tried.begin(), tried.end(), id) == tried.end() &&
                   this->state->health.allowed(id, now) &&
                   this->state->limit_wait(id, now) <= duration::zero() &&
                   this->state->health.return_delay_left(id, now) <= duration::zero();
        });
}

bool prompt_prefiller::may_call_server()
{
    if (this->state->settings.ledger.repeat_extra <= 0)
    {
        return !this->scope->arrivals.any();
    }
    return this->scope->reserve_repeat();
}

task<std::string>
prompt_prefiller::prefill_on(std::shared_ptr<const backend_server> candidate,
                             std::optional<std::int64_t> last_event_number)
{
    const time_point started_at = boot_now();
    const std::int64_t prompt_tokens = this->scope->metadata.prompt_tokens;
    forward_options options;
    options.server = candidate.get();
    options.time_left = time_left(*this->scope);
    options.workspace = this->scope->workspace_name();
    options.step = engine_step::prefill;
    options.last_event_number = last_event_number;
    const prefill_load load(*this->engines, candidate->id, prompt_tokens);
    const caller_request& request = this->scope->exchange->request();
    const time_point deadline =
        std::min(started_at + this->engines->latency.prefill_timeout(prompt_tokens),
                 this->scope->deadline);
    const engine_call_result reply = co_await call_engine(
        *this->state, *candidate, this->state->dialect->write_request(request, options),
        request.body, this->scope->metadata.id, deadline, this->scope->exchange);
    const duration elapsed = boot_now() - started_at;
    const auto prefilled = this->state->dialect->read_prefill_reply(reply.body);
    const bool is_accepted = reply.end == io_outcome::good &&
                             reply.head.status == status_ok && prefilled.has_value();
    if (!reply.withheld && reply.end != io_outcome::not_sent)
    {
        this->scope->arrivals.record_prefill(is_accepted);
    }
    this->scope->return_unused_repeat();
    if (this->scope->exchange->disconnected() || (this->is_cancelled && !is_accepted))
    {
        co_return "";
    }
    if (reply.withheld)
    {
        log_failure(*this->scope, "prefill withheld", candidate->id,
                    this->scope->withheld_reason(*candidate));
        co_return "";
    }
    if (reply.end != io_outcome::good)
    {
        record_observation(*this->state, candidate->id, server_observation::unreachable,
                           elapsed);
        log_failure(*this->scope, "prefill failed", candidate->id, to_string(reply.end));
        co_return "";
    }
    if (!is_accepted)
    {
        record_observation(*this->state, candidate->id, server_observation::refused,
                           elapsed);
        log_failure(*this->scope, "prefill refused", candidate->id, "refused",
                    reply.head.status);
        co_return "";
    }
    record_observation(*this->state, candidate->id, server_observation::good, elapsed);
    this->engines->latency.record_prefill(elapsed, prompt_tokens);
    this->state->counters.observe("agateseam_prefill_ms", elapsed);
    this->server = candidate;
    co_return candidate->address + "/" + prefilled->handle;
}

} // namespace agateseam
