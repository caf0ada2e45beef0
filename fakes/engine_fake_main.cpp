#include <cxxopts.hpp>

#include <fakes/engine_fake.hpp>
#include <fakes/run_fake.hpp>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv)
{
    agateseam::fakes::block_signals();
    cxxopts::Options options("engine_fake", "Stand-in for a model engine");
    options.add_options()("port", "port to listen on",
                          cxxopts::value<int>()->default_value("0"))(
        "slots", "decode slots", cxxopts::value<unsigned>()->default_value("20"))(
        "step-ms", "time between tokens", cxxopts::value<int>()->default_value("20"))(
        "prefill-rate", "tokens a second",
        cxxopts::value<double>()->default_value("20000"))(
        "link-rate", "tokens a second",
        cxxopts::value<double>()->default_value("400000"))(
        "kv-lifetime-ms", "life of a prefill's result",
        cxxopts::value<int>()->default_value("900"))(
        "event-loss", "share of cache events lost",
        cxxopts::value<double>()->default_value("0"))(
        "ignores-generation", "takes old orders", cxxopts::value<bool>());
    const auto arguments = options.parse(argc, argv);
    agateseam::fakes::engine_options chosen;
    chosen.port = static_cast<std::uint16_t>(arguments["port"].as<int>());
    chosen.slots = arguments["slots"].as<unsigned>();
    chosen.step = std::chrono::milliseconds(arguments["step-ms"].as<int>());
    chosen.prefill_tokens_per_second = arguments["prefill-rate"].as<double>();
    chosen.link_tokens_per_second = arguments["link-rate"].as<double>();
    chosen.kv_lifetime = std::chrono::milliseconds(arguments["kv-lifetime-ms"].as<int>());
    chosen.event_loss = arguments["event-loss"].as<double>();
    chosen.checks_generation = arguments.count("ignores-generation") == 0;
    return agateseam::fakes::run_until_signal(
        agateseam::fakes::engine_fake::create(chosen));
}
