#include <gateway/prompt_reader.hpp>

#include <algorithm>

#include <gateway/decode_place.hpp>
#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

constexpr int status_ok = 200;
/// Servers that are asked to read one prompt; another one may be dark, too.
constexpr std::uint32_t most_servers = 2;

} // namespace

prompt_reader::prompt_reader(request_scope& chosen)
    : scope(&chosen)
    , state(chosen.state)
    , engines(&chosen.state->engines(chosen.service))
{
}

task<std::string> prompt_reader::read(std::optional<std::int64_t> last_event)
{
    std::vector<std::string> tried;
    for (std::uint32_t attempt = 0;
         attempt < most_servers && !this->scope->exchange->disconnected(); ++attempt)
    {
        const auto from = this->choose(tried);
        if (!from || !this->may_read())
        {
            break;
        }
        std::string source = co_await this->read_from(from, last_event);
        if (!source.empty())
        {
            co_return source;
        }
        tried.push_back(from->id);
    }
    co_return "";
}

std::shared_ptr<const backend_server>
prompt_reader::choose(const std::vector<std::string>& tried) const
{
    const time_point now = boot_now();
    return this->engines->board.choose_prefill(
        this->state->settings.failure_domain, this->state->random(),
        [this, now, &tried](const std::string& id)
        {
            return std::find(tried.begin(), tried.end(), id) == tried.end() &&
                   this->state->judge.allowed(id, now);
        });
}

/// Only the first prefill of a request is free of the repeats' budget.
bool prompt_reader::may_read()
{
    return this->calls++ == 0 ||
           this->state->ledger.try_take_repeat(this->scope->service, boot_now());
}

task<std::string> prompt_reader::read_from(std::shared_ptr<const backend_server> from,
                                           std::optional<std::int64_t> last_event)
{
    const time_point begun = boot_now();
    const std::int64_t prompt = this->scope->facts.prompt_tokens;
    forward_order order;
    order.server = from.get();
    order.time_left = time_left(*this->scope);
    order.workspace = this->scope->workspace_name();
    order.step = engine_step::prefill;
    order.last_event = last_event;
    const prefill_load load(*this->engines, from->id, prompt);
    const caller_request& request = this->scope->exchange->request();
    const time_point until =
        std::min(begun + this->engines->pace.prefill_timeout(prompt), this->scope->until);
    const engine_answer answer = co_await call_engine(
        *this->state, from->address, this->state->dialect->write_request(request, order),
        request.body, this->scope->facts.id, until, this->scope->exchange);
    const duration took = boot_now() - begun;
    if (this->scope->exchange->disconnected())
    {
        co_return "";
    }
    if (answer.end != io_outcome::good)
    {
        note_sign(*this->state, from->id, server_observation::unreachable, took);
        log_step(*this->scope, "prefill failed", from->id, to_string(answer.end));
        co_return "";
    }
    const auto read = this->state->dialect->read_prefilled(answer.body);
    if (answer.head.status != status_ok || !read)
    {
        note_sign(*this->state, from->id, server_observation::refused, took);
        log_step(*this->scope, "prefill refused", from->id,
                 std::to_string(answer.head.status));
        co_return "";
    }
    note_sign(*this->state, from->id, server_observation::good, took);
    this->engines->pace.record_prefill(took, prompt);
    this->state->counters.observe("agateseam_prefill_ms", took);
    this->server = from;
    co_return from->address + "/" + read->handle;
}

} // namespace agateseam
