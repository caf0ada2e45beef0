#include <gateway/engine_reports.hpp>

#include <gateway/engine_calls.hpp>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

constexpr int status_ok = 200;
/// A stream of an entry that is gone lasts some seconds; each report has a price.
constexpr auto reports_every = 700ms;
constexpr auto report_time = 300ms;

task<void> ask_server(entry_state& state, std::string service,
                      std::shared_ptr<const backend_server> server)
{
    const auto answer =
        co_await call_engine(state, server->address, state.dialect->write_report(*server),
                             nullptr, "", boot_now() + report_time, nullptr);
    if (answer.end != io_outcome::good || answer.head.status != status_ok)
    {
        state.counters.add("agateseam_reports_missed_total");
        co_return;
    }
    const auto used = state.dialect->read_report(answer.body);
    if (!used)
    {
        log_error("report left out", used.error(), {{"server", server->id}});
        co_return;
    }
    state.engines(service).board.record_memory_report(server->id, *used, boot_now());
}

void ask_servers(entry_state& state, const std::string& service)
{
    const time_point now = boot_now();
    for (const auto& server : state.engines(service).board.decode_servers())
    {
        if (state.ledger.polls_server(server->id, now) &&
            state.judge.allowed(server->id, now))
        {
            spawn(*state.loop,
                  [&state, service, server]() -> task<void>
                  { co_await ask_server(state, service, server); });
        }
    }
}

} // namespace

task<void> ask_for_reports(entry_state& state)
{
    for (;;)
    {
        co_await pause_for(*state.loop, reports_every);
        if (!state.routing || state.draining)
        {
            continue;
        }
        const auto table = state.routing;
        for (const service_properties& service : table->services())
        {
            if (service.engine)
            {
                ask_servers(state, service.name);
            }
        }
    }
}

} // namespace agateseam
