/// Counters of the request path, shown at /metrics.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace agateseam
{

/// \brief Monotonic counters of one entry process.
struct path_counters
{
    /// Retries asked for, including those refused.
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> retries_refused{0}; ///< Refused for lack of retry budget.
    std::atomic<std::uint64_t> resumed{0};         ///< Retries after the first token.
    /// Parts of agents' answers not passed on: of another attempt, repeated, malformed or
    /// beyond the maximum number of tokens.
    std::atomic<std::uint64_t> events_dropped{0};
    std::atomic<std::uint64_t> event_gaps{0};     ///< Streams that omitted a token.
    std::atomic<std::uint64_t> streams_silent{0}; ///< Streams that sent nothing in time.
    std::atomic<std::uint64_t> attempts_lost{0};  ///< No longer run by their agent.
};

/// \brief Returns the counters as Prometheus text.
[[nodiscard]] std::string to_text(const path_counters& counters);

} // namespace agateseam
