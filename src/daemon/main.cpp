/// The daemon's program: checks its settings, runs its role, ends on a signal.
#include <csignal>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <easylogging++.h>

#include <agateseam/version.hpp>
#include <daemon/daemon.hpp>

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;

constexpr int exit_fault = 1;
constexpr int exit_usage = 2;
constexpr timespec poll_interval{0, 50'000'000}; // 50 ms

sigset_t ending_signals()
{
    sigset_t wanted;
    sigemptyset(&wanted);
    sigaddset(&wanted, SIGTERM);
    sigaddset(&wanted, SIGINT);
    return wanted;
}

/// Waits; returns whether another signal came.
bool wait_for_signal()
{
    const sigset_t wanted = ending_signals();
    return sigtimedwait(&wanted, nullptr, &poll_interval) > 0;
}

/// Stays reachable until others know that this process is leaving, then until its work
/// has ended; a second signal or the deadline ends it before.
int shut_down(daemon_process& running, const limit_settings& limits)
{
    using clock = std::chrono::steady_clock;
    running.drain();
    const auto begun = clock::now();
    bool hurried = false;
    while (!hurried && clock::now() - begun < limits.linger)
    {
        hurried = wait_for_signal();
    }
    running.stop_listening();
    while (!hurried && running.open_work() > 0 && clock::now() - begun < limits.drain)
    {
        hurried = wait_for_signal();
    }
    const auto left = static_cast<std::int64_t>(running.open_work());
    log_line(left == 0 ? log_level::info : log_level::warning, "stopped",
             {{"requests_cut", left}});
    return left == 0 ? 0 : exit_fault;
}

int run(const daemon_settings& settings)
{
    const sigset_t wanted = ending_signals();
    pthread_sigmask(SIG_BLOCK, &wanted, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    start_log(settings.vm, settings.log);
    auto running =
        settings.role == daemon_role::entry ? make_entry(settings) : make_agent(settings);
    if (!running)
    {
        log_error("start failed", running.error());
        return exit_fault;
    }
    log_line(log_level::info, "started",
             {{"port", static_cast<std::int64_t>((*running)->port())}});
    int received = 0;
    sigwait(&wanted, &received);
    log_line(log_level::info, "draining", {{"signal", std::int64_t{received}}});
    return shut_down(**running, settings.limits);
}

int start(int argc, char** argv)
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
        return start(argc, argv);
    }
    catch (const std::exception& fault)
    {
        std::cerr << fault.what() << '\n';
        return exit_usage;
    }
}
