/// Models of engines in virtual time, and the outcome of a run of requests over them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include <bench/policy_scenario.hpp>

namespace agateseam::bench
{

/// \brief Runs calls in the order of their times, and in the order of their scheduling
/// when times are equal.
class event_queue
{
  public:
    [[nodiscard]] double now() const noexcept { return this->time; }

    /// \brief Returns the time in the type that the decision classes take.
    [[nodiscard]] time_point now_time_point() const noexcept;

    void at(double when, std::function<void()> call);
    void after(double delay, std::function<void()> call);

    /// \brief Runs all calls that are due up to a time.
    void run_until(double limit);

  private:
    struct entry
    {
        double when = 0;
        std::uint64_t number = 0;
        std::function<void()> call;

        friend bool operator>(const entry& left, const entry& right) noexcept
        {
            return left.when > right.when ||
                   (left.when == right.when && left.number > right.number);
        }
    };

    std::priority_queue<entry, std::vector<entry>, std::greater<>> scheduled_calls;
    std::uint64_t last_number = 0;
    double time = 0;
};

/// \brief A prefix cache that evicts the least recently used block.
class prefix_cache
{
  public:
    explicit prefix_cache(std::size_t blocks)
        : capacity(blocks)
    {
    }

    /// \brief Looks up a chain of block hashes and stores it.
    /// \param changed Called for each block stored (true) or evicted (false).
    /// \returns the number of leading blocks that were cached.
    std::size_t lookup_and_store(const std::vector<std::uint64_t>& chain,
                                 const std::function<void(std::uint64_t, bool)>& changed);

  private:
    std::size_t capacity;
    std::list<std::uint64_t> recency; ///< The most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

/// \brief A prefill engine that computes one prompt at a time and sends results over a
/// link.
struct prefill_model
{
    prefix_cache cache;
    double compute_free_at = 0; ///< Time at which the compute becomes free.
    double link_free_at = 0;    ///< Time at which the link becomes free.
};

/// \brief The outcome of one request.
struct request_outcome
{
    double first_token = -1; ///< Seconds after its arrival; below 0 when there was none.
    double last_token = -1;  ///< Seconds after its arrival; below 0 unless complete.
    std::string refusal;     ///< The reason; empty unless refused.
    /// Its entry was lost or paused while it ran; it is not counted.
    bool entry_failed = false;
};

/// \brief The raw outcome of a run.
struct run_outcome
{
    std::vector<request_outcome> requests; ///< In the order of the trace.
    double prefill_tokens = 0;             ///< Prefill tokens computed.
    double wasted_prefill_tokens = 0;      ///< Computed tokens that no decode used.
    std::uint32_t slots_left = 0;          ///< Slots held or queued after the end.
};

/// \brief Features of agateseam's policy that a run turns on or off.
struct policy_features
{
    bool prefix_affinity = true; ///< Placement by cache digests.
    /// Placement on the agent that served the session before, unless it is busy, after
    /// the paper "Session affinity" (PAPER-session-affinity-6ff3).
    bool session_affinity = false;
};

/// \brief Runs a trace through the decision classes that the daemons use.
[[nodiscard]] run_outcome run_agateseam(const scenario& plan,
                                        const std::vector<traced_request>& trace,
                                        const policy_features& features,
                                        std::uint64_t seed);

/// \brief Runs a trace with engines chosen round robin and no scheduler.
[[nodiscard]] run_outcome run_round_robin(const scenario& plan,
                                          const std::vector<traced_request>& trace);

/// \brief Runs a trace that places each request on the least loaded prefill engine and,
/// after its prefill, on the least loaded decode engine.
[[nodiscard]] run_outcome run_least_load(const scenario& plan,
                                         const std::vector<traced_request>& trace);

/// \brief Returns whether the entry of a request is lost or paused while the request may
/// run, so that no policy could serve it.
[[nodiscard]] bool is_hit_by_entry_failure(const scenario& plan,
                                           const traced_request& request);

/// \brief Returns the entry at which a request arrives: its own, or another one while its
/// own is lost or paused.
[[nodiscard]] std::uint32_t serving_entry(const scenario& plan,
                                          const traced_request& request);

inline constexpr double pause_seconds = 5; ///< How long a paused entry stops.
/// How long a prefill's KV cache is kept.
inline constexpr double kv_lifetime_seconds = 0.9;
inline constexpr double block_size = 1'000;         ///< Tokens.
inline constexpr double hop_delay_seconds = 0.0015; ///< One way between failure domains.
/// Time that a run continues after the last arrival.
inline constexpr double drain_seconds = 30;
inline constexpr std::uint32_t lost_engine = 0; ///< The decode engine that is lost.
inline constexpr std::uint32_t lost_entry = 0;  ///< The entry that is lost or paused.

} // namespace agateseam::bench
