/// The daemon's main program: validates the settings, runs the role, stops on a signal.
#include <csignal>
#include <iostream>
#include <limits>
#include <thread>

#include <cxxopts.hpp>
#include <easylogging++.h>

#include <agateseam/memory_budget.hpp>
#include <agateseam/version.hpp>
#include <daemon/daemon.hpp>

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr timespec poll_interval{0, 50'000'000}; // 50 ms.

sigset_t termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Waits for one poll interval; returns whether a termination signal arrived.
bool wait_for_signal()
{
    const sigset_t signals = termination_signals();
    return sigtimedwait(&signals, nullptr, &poll_interval) > 0;
}

/// Keeps listening for the linger time, so that other processes learn that this one is
/// leaving, then waits for the open work. A second signal or the drain time-out ends both
/// waits early.
int shut_down(daemon_process& running, const limit_settings& limits)
{
    using clock = std::chrono::steady_clock;
    running.drain();
    const auto started_at = clock::now();
    bool signalled = false;
    while (!signalled && clock::now() - started_at < limits.linger)
    {
        signalled = wait_for_signal();
    }
    running.stop_listening();
    while (!signalled && running.open_work() > 0 &&
           clock::now() - started_at < limits.drain_timeout)
    {
        signalled = wait_for_signal();
    }
    const auto open_count = static_cast<std::int64_t>(running.open_work());
    log_line(open_count == 0 ? log_level::info : log_level::warning, "stopped",
             {{"requests_cut", open_count}});
    return open_count == 0 ? 0 : exit_failure;
}

int run(const daemon_settings& settings)
{
    const sigset_t signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return_large_buffers();
    process_memory_budget().set_limits(held_memory_limit(settings.listen.memory_bytes),
                                       std::numeric_limits<std::size_t>::max());
    start_log(settings.vm, settings.log);
    auto running =
        settings.role == daemon_role::entry ? make_entry(settings) : make_agent(settings);
    if (!running)
    {
        log_error("start failed", running.error());
        return exit_failure;
    }
    log_line(log_level::info, "started",
             {{"port", static_cast<std::int64_t>((*running)->port())}});
    int received = 0;
    sigwait(&signals, &received);
    log_line(log_level::info, "draining", {{"signal", std::int64_t{received}}});
    return shut_down(**running, settings.limits);
}

int run_command_line(int argc, char** argv)
{
    cxxopts::Options options("agateseamd", "Routes requests to prefill and decode pools");
    options.add_options()("settings", "settings file, JSON with comments",
                          cxxopts::value<std::string>())("check-settings",
                                                         "check a settings file and exit",
                                                         cxxopts::value<std::string>())(
        "version", "print the version")("help", "print this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0)
    {
        std::cout << options.help()
                  << "\nExit codes: 0 done, 1 fault, 2 bad usage or settings\n";
        return 0;
    }
    if (arguments.count("version") > 0)
    {
        std::cout << "agateseamd " AGATESEAM_VERSION "\n";
        return 0;
    }
    const bool check = arguments.count("check-settings") > 0;
    if (!check && arguments.count("settings") == 0)
    {
        std::cerr << options.help();
        return exit_usage;
    }
    const auto settings = daemon_settings::load(
        arguments[check ? "check-settings" : "settings"].as<std::string>());
    if (!settings)
    {
        std::cerr << settings.error().description << '\n';
        return exit_usage;
    }
    return check ? 0 : run(*settings);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_command_line(argc, argv);
    }
    catch (const std::exception& fault)
    {
        std::cerr << fault.what() << '\n';
        return exit_usage;
    }
}
