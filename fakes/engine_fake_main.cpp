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
        "step-ms", "milliseconds between tokens of a stream",
        cxxopts::value<int>()->default_value("20"))(
        "prefill-rate", "tokens per second",
        cxxopts::value<double>()->default_value("20000"))(
        "link-rate", "tokens per second",
        cxxopts::value<double>()->default_value("400000"))(
        "kv-lifetime-ms", "lifetime of a KV cache that waits to be pulled",
        cxxopts::value<int>()->default_value("900"))(
        "event-loss", "fraction of cache events that are lost",
        cxxopts::value<double>()->default_value("0"))(
        "ignores-generation", "accept orders with an old generation",
        cxxopts::value<bool>());
    const auto arguments = options.parse(argc, argv);
    agateseam::fakes::engine_options fake_options;
    fake_options.port = static_cast<std::uint16_t>(arguments["port"].as<int>());
    fake_options.slots = arguments["slots"].as<unsigned>();
    fake_options.step = std::chrono::milliseconds(arguments["step-ms"].as<int>());
    fake_options.prefill_tokens_per_second = arguments["prefill-rate"].as<double>();
    fake_options.link_tokens_per_second = arguments["link-rate"].as<double>();
    fake_options.kv_lifetime =
        std::chrono::milliseconds(arguments["kv-lifetime-ms"].as<int>());
    fake_options.event_loss = arguments["event-loss"].as<double>();
    fake_options.checks_generation = arguments.count("ignores-generation") == 0;
    return agateseam::fakes::run_until_signal(
        agateseam::fakes::engine_fake::create(fake_options));
}
