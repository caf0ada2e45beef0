#include <cxxopts.hpp>

#include <fakes/platform_fake.hpp>
#include <fakes/run_fake.hpp>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv)
{
    agateseam::fakes::block_signals();
    cxxopts::Options options("platform_fake", "Stand-in for the platform's object API");
    options.add_options()("port", "port to listen on",
                          cxxopts::value<int>()->default_value("0"))(
        "vm-list-lag-ms", "delay of the VM list in milliseconds",
        cxxopts::value<int>()->default_value("2000"));
    const auto arguments = options.parse(argc, argv);
    agateseam::fakes::platform_options fake_options;
    fake_options.port = static_cast<std::uint16_t>(arguments["port"].as<int>());
    fake_options.vm_list_lag =
        std::chrono::milliseconds(arguments["vm-list-lag-ms"].as<int>());
    return agateseam::fakes::run_until_signal(
        agateseam::fakes::platform_fake::create(fake_options));
}
