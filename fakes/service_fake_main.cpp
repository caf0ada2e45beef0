#include <cxxopts.hpp>

#include <fakes/run_fake.hpp>
#include <fakes/service_fake.hpp>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv)
{
    agateseam::fakes::block_signals();
    cxxopts::Options options("service_fake", "Stand-in for a plain service");
    options.add_options()("port", "port to listen on",
                          cxxopts::value<int>()->default_value("0"))(
        "delay-ms", "duration of a run in milliseconds",
        cxxopts::value<int>()->default_value("20"));
    const auto arguments = options.parse(argc, argv);
    agateseam::fakes::service_options fake_options;
    fake_options.port = static_cast<std::uint16_t>(arguments["port"].as<int>());
    fake_options.delay = std::chrono::milliseconds(arguments["delay-ms"].as<int>());
    return agateseam::fakes::run_until_signal(
        agateseam::fakes::service_fake::create(fake_options));
}
