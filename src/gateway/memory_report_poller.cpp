#include <gateway/memory_report_poller.hpp>

#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr int status_ok = 200;
/// The streams of an entry that died last some seconds, so polling need not be faster;
/// each report costs a call.
constexpr auto poll_interval = 700ms;
constexpr auto report_timeout = 300ms;

task<void> poll_server(entry_state& state, std::string service,
                       std::shared_ptr<const backend_server> server)
{
    const auto answer = co_await call_engine(
        state, *server, state.dialect->write_memory_report_request(*server), nullptr, "",
        boot_now() + report_timeout, nullptr);
    if (answer.withheld)
    {
        co_return;
    }
    if (answer.end != io_outcome::good || answer.head.status != status_ok)
    {
        state.counters.add("agateseam_reports_missed_total");
        co_return;
    }
    const auto used_tokens = state.dialect->read_memory_report(answer.body);
    if (!used_tokens)
    {
        log_error("memory report ignored", used_tokens.error(), {{"server", server->id}});
        co_return;
    }
    state.engines(service).placement.record_memory_report(server->id, *used_tokens,
                                                          boot_now());
}

void poll_servers(entry_state& state, const std::string& service)
{
    const time_point now = boot_now();
    for (const auto& server : state.engines(service).placement.decode_servers())
    {
        if (state.ledger.polls_server(server->id, now) &&
            state.health.allowed(server->id, now) && !state.is_limited(server->id) &&
            !state.is_paced(server->id, now))
        {
            spawn(*state.loop,
                  [&state, service, server]() -> task<void>
                  { co_await poll_server(state, service, server); });
        }
    }
}

} // namespace

task<void> poll_memory_reports(entry_state& state)
{
    for (;;)
    {
        co_await pause_for(*state.loop, poll_interval);
        if (!state.routing || state.draining())
        {
            continue;
        }
        const auto table = state.routing;
        for (const service_properties& service : table->services())
        {
            if (service.engine)
            {
                poll_servers(state, service.name);
            }
        }
    }
}

} // namespace agateseam
