/// Models of engines in virtual time, and what a run of requests over them came to.
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

/// \brief Runs calls in the order of their times; those of equal times in turn.
class event_queue
{
  public:
    [[nodiscard]] double now() const noexcept { return this->time; }

    /// \brief Returns the time as the decision classes take it.
    [[nodiscard]] time_point now_point() const noexcept;

    void at(double when, std::function<void()> call);
    void after(double delay, std::function<void()> call);

    /// \brief Runs all calls up to a time.
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

    std::priority_queue<entry, std::vector<entry>, std::greater<>> entries;
    std::uint64_t numbers = 0;
    double time = 0;
};

/// \brief A prefix cache that drops the least recently used block.
class prefix_cache
{
  public:
    explicit prefix_cache(std::size_t blocks)
        : capacity(blocks)
    {
    }

    /// \brief Looks a chain up and stores it.
    /// \param changed Called for each block stored (true) or dropped (false).
    /// \returns leading blocks that were there.
    std::size_t touch(const std::vector<std::uint64_t>& chain,
                      const std::function<void(std::uint64_t, bool)>& changed);

  private:
    std::size_t capacity;
    std::list<std::uint64_t> order; ///< The most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

/// \brief A prefill engine: one prompt after another, and a link that sends results.
struct prefill_model
{
    prefix_cache cache;
    double free = 0;      ///< When the compute is free.
    double link_free = 0; ///< When the link is free.
};

/// \brief What became of one request.
struct request_outcome
{
    double first_token = -1; ///< Seconds after its arrival; below 0 when there was none.
    double last_token = -1;  ///< Seconds after its arrival; below 0 unless complete.
    std::string refusal;     ///< The reason; empty unless refused.
    bool left_out = false;   ///< Its entry was lost or paused under it.
};

/// \brief What a run came to, before it is judged.
struct run_outcome
{
    std::vector<request_outcome> requests; ///< In the order of the trace.
    double prefill_tokens = 0;             ///< Computed.
    double wasted_tokens = 0;              ///< Of them, never decoded from.
    std::uint32_t slots_left = 0;          ///< Held after the end.
};

/// \brief Features of the project's policy that a run switches.
struct policy_features
{
    bool prefix = true; ///< Placement by cache digests.
    /// Placement by session affinity, after the paper "Session affinity"
    /// (PAPER-session-affinity-6ff3): the agent that served a session, unless it is busy.
    bool session = false;
};

/// \brief Runs a trace through the decision classes that the daemons use.
[[nodiscard]] run_outcome run_agateseam(const scenario& plan,
                                        const std::vector<traced_request>& trace,
                                        const policy_features& features,
                                        std::uint64_t seed);

/// \brief Runs a trace with engines taken in turn and no scheduler.
[[nodiscard]] run_outcome run_round_robin(const scenario& plan,
                                          const std::vector<traced_request>& trace);

/// \brief Runs a trace with the least loaded engines, the prefill first.
[[nodiscard]] run_outcome run_least_load(const scenario& plan,
                                         const std::vector<traced_request>& trace);

/// \brief Tells whether an entry fails under a request, so that nothing could serve it.
[[nodiscard]] bool is_left_out(const scenario& plan, const traced_request& request);

/// \brief Returns the entry that a request arrives at, another one when its own is gone.
[[nodiscard]] std::uint32_t live_entry(const scenario& plan,
                                       const traced_request& request);

inline constexpr double pause_length = 5;       ///< Seconds, of a paused entry.
inline constexpr double kv_lifetime = 0.9;      ///< Seconds, of a prefill's result.
inline constexpr double block_size = 1'000;     ///< Tokens.
inline constexpr double hop_delay = 0.0015;     ///< Seconds one way between domains.
inline constexpr double drain_time = 30;        ///< Seconds after the last arrival.
inline constexpr std::uint32_t lost_engine = 0; ///< The decode engine that is lost.
inline constexpr std::uint32_t lost_entry = 0;  ///< The entry that is lost or paused.

} // namespace agateseam::bench
