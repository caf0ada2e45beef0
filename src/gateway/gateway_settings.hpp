/// An entry's settings: JSON with comments, checked whole.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/error.hpp>
#include <agateseam/fleet_ledger.hpp>
#include <net/log.hpp>

namespace agateseam
{

/// \brief Everything an entry is told at start.
struct gateway_settings
{
    std::string vm;             ///< Name of this VM.
    std::string failure_domain; ///< Such as "zone-a".
    std::string callers;        ///< "IP:port" for callers.
    std::string readiness;      ///< "IP:port" at which the platform asks for readiness.
    std::string metrics;        ///< "IP:port" of the metrics; empty: none.
    std::string peers;          ///< "IP:port" for other entries, TCP and UDP.
    std::vector<std::string> seeds; ///< "IP:port" of a few entries; may be stale.
    std::string store;              ///< "IP:port" of the platform's store.
    fleet_ledger_options ledger;
    std::chrono::milliseconds grace{8'000}; ///< From SIGTERM to the end.
    /// Between records of use in the store: a call each, and what a kill loses.
    std::chrono::milliseconds usage_flush{60'000};
    log_level log = log_level::info;

    /// \brief Checks a settings document whole.
    /// \returns `invalid` with every fault and its path, a line each.
    [[nodiscard]] static result<gateway_settings> parse(std::string_view document);

    /// \brief Reads and checks a settings file.
    [[nodiscard]] static result<gateway_settings> load(const std::string& file);
};

} // namespace agateseam
