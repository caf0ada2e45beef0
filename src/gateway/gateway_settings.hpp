/// An entry's settings, a JSON document that may contain comments.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>
#include <agateseam/fleet_ledger.hpp>
#include <net/log.hpp>
#include <net/machine_limits.hpp>

namespace agateseam
{

/// \brief Settings that an entry reads at start.
struct gateway_settings
{
    std::string vm;             ///< Name of this VM.
    std::string failure_domain; ///< Such as "zone-a".
    std::string callers;        ///< "IP:port" that listens for callers.
    std::string readiness; ///< "IP:port" that answers the platform's readiness checks.
    std::string metrics;   ///< "IP:port" that serves metrics; empty disables them.
    std::string peers;     ///< "IP:port" that listens for other entries, TCP and UDP.
    std::vector<std::string> seeds; ///< "IP:port" of some entries; may be outdated.
    std::string store;              ///< "IP:port" of the platform's store.
    fleet_ledger_options ledger;
    std::chrono::milliseconds grace{8'000}; ///< Time from SIGTERM to the exit.
    /// Time between writes of usage to the store. Each write costs a call, and a killed
    /// process loses what it counted since the last one.
    std::chrono::milliseconds usage_flush{60'000};
    /// Time in which an evacuation of a failure domain must be in force here; zero: the
    /// deployment has no evacuations, and they are not followed.
    std::chrono::milliseconds evacuation_time{0};
    /// Whether servers that have started or recovered get requests at a limited pace.
    bool pace_servers = false;
    std::map<std::string, std::string, std::less<>> regions; ///< By failure domain.
    std::size_t memory_bytes = std::size_t{256} << 20; ///< Of the VM, for the process.
    std::size_t descriptors = descriptor_limit(); ///< That the process may have open.
    double link_mbps = 0;                         ///< Of the VM; 0 if it isn't known.
    log_level log = log_level::info;

    /// \brief Parses and validates a settings document.
    /// \returns `invalid` with one line for each error and its path.
    [[nodiscard]] static result<gateway_settings> parse(std::string_view document);

    /// \brief Reads and validates a settings file.
    [[nodiscard]] static result<gateway_settings> load(const std::string& file);
};

} // namespace agateseam
