/// Derives the pace of servers that return to service from how they answer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/entry_digest.hpp>
#include <agateseam/server_health_tracker.hpp>

namespace agateseam
{

/// \brief Returns the name of a cause, for logs and metrics.
[[nodiscard]] std::string_view to_string(return_cause cause) noexcept;

/// \brief A change of a returning server's pace.
struct pace_step
{
    name_key server;
    return_cause cause{};
    std::optional<double> pace; ///< Requests a second; none when the return has ended.
    answer_counts answers;      ///< Of all entries, that the step is based on.
    bool is_first = false;      ///< The return began here or was reported by a peer.
};

/// \brief One entry's view of which servers are returning, and at what pace.
///
/// Load pattern: a server starts or recovers, and all entries, which have requests
/// waiting, see it at once. Its pace starts at a fraction of its capacity and is doubled
/// after each interval with answers, halved if they report failures, and held if they are
/// slow. The answers that other entries got count like the own ones. Before a first
/// answer can be expected, the pace is doubled without any, at longer intervals: a server
/// with long requests would be idle until then.
///
/// A pace is for all entries together; `server_limiter` enforces it.
class server_pacer
{
  public:
    static constexpr std::chrono::milliseconds interval{250};
    /// Interval while no answer can be expected yet.
    static constexpr std::chrono::milliseconds unanswered_interval{750};
    static constexpr double first_share = 1.0 / 8; ///< Of the capacity.
    static constexpr double min_share = 1.0 / 32;
    /// Of the capacity, which is not exceeded without answers.
    static constexpr double max_unanswered_share = 0.9;
    static constexpr double min_per_second = 1;
    static constexpr double max_bad_share = 0.1;
    static constexpr double max_slow_share = 0.5;
    /// An answer that takes longer than this many times that of the peers is slow.
    static constexpr double slow_factor = 2;
    static constexpr std::chrono::seconds max_return_time{10};
    /// All entries see a crash within this time.
    static constexpr std::chrono::seconds crash_detection_time{2};
    /// A return doesn't end by time within this time after a bad answer.
    static constexpr std::chrono::seconds bad_answer_memory{2};
    /// A return this soon after one that ended badly starts slower.
    static constexpr std::chrono::seconds bad_return_memory{30};
    /// Used where no latency of a peer is known.
    static constexpr double default_capacity_per_second = 16;

    /// \brief Records that a server returns. Entries see the same return at different
    /// times and by different signs, so a call within `max_return_time` of its start is
    /// ignored, unless this entry has seen the same cause in it before or the server
    /// crashed.
    /// \param capacity_per_second what the server handles at full load; 0: not known.
    /// \param peers_latency the typical latency of its peers; zero: not known.
    /// \returns whether a return begins.
    bool begin_return(name_key server, return_cause cause, double capacity_per_second,
                      duration peers_latency, time_point now);

    /// \brief Counts an answer of a returning server; no effect for others.
    void record_answer(name_key server, server_observation observation, duration latency,
                       duration peers_latency, time_point now);

    /// \brief Returns a server's pace in requests a second over all entries; none if it
    /// isn't returning.
    [[nodiscard]] std::optional<double> pace(name_key server, time_point now);

    /// \brief Returns the changes since the last call, in their order.
    [[nodiscard]] std::vector<pace_step> take_steps(time_point now);

    /// \brief Returns how many servers are returning.
    [[nodiscard]] std::size_t returning_count() const noexcept;

    /// \brief Merges another entry's reports, which may tell of returns.
    void apply(const std::string& entry, std::uint64_t incarnation,
               const keyed_map<server_return_report>& reports, time_point now);

    /// \brief Returns what changed since a time, or everything.
    [[nodiscard]] keyed_map<server_return_report>
    make_reports(std::optional<time_point> since, time_point now);

  private:
    struct server_return
    {
        return_cause cause{};
        std::uint32_t number = 0; ///< Of the return, counted by this entry.
        time_point began_at{};
        double capacity_per_second = 0;
        duration peers_latency{};
        double start_share = first_share;
        std::optional<double> pace; ///< None after the end.
        time_point ended_at{};
        time_point step_at{}; ///< When the current interval began.
        time_point changed_at{};
        std::optional<time_point> bad_at; ///< Of the last bad answer to any entry.
        answer_counts own_answers;        ///< Of this entry, since the return began.
        answer_counts interval_answers;   ///< Of all entries, in the current interval.
        bool has_answers = false;
        std::uint8_t seen_causes = 0; ///< By this entry itself; a bit for each.
    };
    struct peer_answers
    {
        std::uint32_t number = 0; ///< Of the return, counted by the peer.
        answer_counts answers;
    };
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        time_point heard_at{};
        keyed_map<peer_answers> servers;
    };

    [[nodiscard]] static bool is_same_return(const server_return& state,
                                             return_cause cause, time_point now);
    [[nodiscard]] static bool ended_badly(const server_return& state, time_point now);
    [[nodiscard]] static bool should_join(const server_return* state,
                                          const server_return_report& report,
                                          time_point began_at);
    void begin(name_key server, server_return state, time_point now);
    static void count(server_return& state, const answer_counts& answers, time_point now);
    void advance(name_key server, server_return& state, time_point now);
    void evaluate(name_key server, server_return& state, time_point at);
    void set_pace(name_key server, server_return& state, std::optional<double> pace,
                  const answer_counts& answers, time_point at);
    void expire(time_point now);

    keyed_map<server_return> returns; ///< Also those that ended of late.
    std::map<std::string, peer_state> peers;
    std::vector<pace_step> steps;
    std::uint32_t last_number = 0;
    time_point expire_at{};
};

} // namespace agateseam
