/// Counts of what happened on the path of requests, shown at /metrics.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace agateseam
{

/// \brief Growing counters of one entry process.
struct path_counters
{
    std::atomic<std::uint64_t> retries{0};         ///< Attempts after the first.
    std::atomic<std::uint64_t> retries_refused{0}; ///< For want of retry budget.
    std::atomic<std::uint64_t> resumed{0};         ///< Retries past the first token.
    std::atomic<std::uint64_t> events_dropped{0};  ///< Late, crossed or repeated ones.
    std::atomic<std::uint64_t> event_gaps{0};      ///< Streams that left out a token.
    std::atomic<std::uint64_t> streams_silent{0};  ///< Streams that fell silent.
    std::atomic<std::uint64_t> attempts_lost{0};   ///< That the agent no longer knew.
};

/// \brief Returns the counters as Prometheus text.
[[nodiscard]] std::string to_text(const path_counters& counters);

} // namespace agateseam
