/// Scenarios of the policy bench and the generation of their request traces.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/configuration.hpp>

namespace agateseam::bench
{

/// \brief The requests that one workspace sends.
struct workload
{
    std::string workspace;
    double share = 1;                    ///< Relative share of the total request rate.
    std::uint32_t min_prompt_tokens = 0; ///< Without the preamble.
    std::uint32_t max_prompt_tokens = 0; ///< Without the preamble.
    std::uint32_t preamble_blocks = 0;   ///< Leading blocks shared by all its prompts.
    double repeat_share = 0; ///< Share of prompts that extend a recent prompt.
};

/// \brief Fleet size, workloads, load and faults of one run.
struct scenario
{
    std::string name;
    std::string customer;
    std::uint32_t entries = 3;
    std::uint32_t prefills = 3;
    std::uint32_t decodes = 5;
    std::uint32_t slots = 20;
    std::uint32_t domains = 4;
    double prefill_rate = 20'000;   ///< Tokens per second of one engine.
    double link_rate = 400'000;     ///< Tokens per second within a failure domain.
    double crossing_rate = 200'000; ///< Tokens per second between failure domains.
    double token_gap = 0.030;       ///< Seconds between the output tokens of a stream.
    std::uint32_t min_output_tokens = 100; ///< Bounds of the generated output lengths.
    std::uint32_t max_output_tokens = 300;
    std::uint32_t output_limit = 400; ///< max_tokens of every request.
    std::uint32_t cache_blocks = 200;
    double load = 0.95;       ///< Share of decode slots in use if nothing is refused.
    double length = 240;      ///< Seconds from the start to the last arrival.
    double heartbeat = 0.5;   ///< Seconds between load reports.
    double report_lag = 0.01; ///< Seconds until a report arrives.
    bool piggyback = true;    ///< Whether answers carry a load report.
    double hot_factor = 1;    ///< Factor on the first workspace's rate.
    bool bursts = false;      ///< Whether one second in ten has four times the rate.
    /// Time at which a decode engine and its agent fail.
    std::optional<double> decode_lost;
    std::optional<double> entry_lost;   ///< Time at which an entry fails.
    std::optional<double> entry_paused; ///< Time at which an entry pauses for 5 s.
    bool list_frozen = false; ///< Whether the platform's list is no longer updated.
    std::vector<workload> workloads;
    policy_config policy;

    [[nodiscard]] bool has_fault() const noexcept
    {
        return this->decode_lost || this->entry_lost || this->entry_paused;
    }
};

/// \brief One request of a trace.
struct traced_request
{
    std::uint64_t number = 0;
    double arrival = 0; ///< Seconds from the start.
    std::uint32_t entry = 0;
    std::uint32_t workload = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< Output length; only the engine knows it.
    std::uint64_t session = 0;       ///< Equal for prompts that extend each other.
    std::vector<std::uint64_t> blocks;
};

/// \brief Returns all scenarios, Kalahari's and Kessler's.
[[nodiscard]] std::vector<scenario> all_scenarios();

/// \brief Makes a scenario's trace; equal seeds make equal traces.
[[nodiscard]] std::vector<traced_request> make_trace(const scenario& plan,
                                                     std::uint64_t seed);

} // namespace agateseam::bench
