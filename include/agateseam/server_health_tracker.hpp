/// Tracks the health of backend servers by the outcomes of attempts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// What one attempt says about the server that it was sent to.
enum class server_observation : std::uint8_t
{
    good,       ///< A whole answer that doesn't report a server failure.
    failed,     ///< An answer that reports a server failure, such as status 500.
    refused,    ///< Not run: the server is full, leaving, or another incarnation.
    unreachable ///< No connection, a broken or malformed answer, or none in time.
};

/// \brief One entry's view of the health of each backend server.
///
/// Load pattern: a server fails part of its requests while its health check passes; a
/// server is unreachable, so that each request sent there waits for its full time-out; a
/// server recovers. After `ejection_threshold` unreachable attempts in a row a server is
/// ejected, for a time that doubles with each further one; after that time it gets one
/// request at a time until an attempt reaches it. A server that answered other requests
/// while an attempt waited is slow, not unreachable, and is not ejected for that attempt.
/// Failures only worsen a server's rank, since the requests may be their cause. A full
/// server refuses requests; it gets none for a moment, so that a burst doesn't spend the
/// retry budget on refusals. A server may say how long it wants none: it rests. When a
/// rest ends, requests that waited for it would all come at once and bring the next one;
/// so they come back one first, then at intervals that halve.
class server_health_tracker
{
  public:
    static constexpr std::uint32_t ejection_threshold = 2;
    static constexpr std::chrono::milliseconds min_ejection{500};
    static constexpr std::chrono::milliseconds max_ejection{4'000};
    /// In about this time one of a full server's few slots is free again.
    static constexpr std::chrono::milliseconds min_refusal_backoff{15};
    static constexpr std::chrono::milliseconds max_refusal_backoff{120};
    /// The interval between the first and the second request after a rest; about the time
    /// in which the first one is refused again.
    static constexpr std::chrono::milliseconds first_return_interval{32};
    static constexpr std::chrono::milliseconds min_return_interval{2};
    /// How long after a rest its end still delays requests.
    static constexpr std::chrono::milliseconds return_window{1'000};
    /// A rest that another one prolongs by less is the same rest.
    static constexpr std::chrono::milliseconds min_prolongation{100};

    void begin(const std::string& id);
    void end(const std::string& id, server_observation observation, duration elapsed,
             time_point now);

    /// \brief Forgets what is known of a server if it was another incarnation of it, for
    /// example one that a request crashed.
    void set_incarnation(const std::string& id, std::uint64_t born_ms);

    /// \brief Ends an attempt that was not sent and says nothing about the server.
    void withdraw(const std::string& id);

    /// \brief Tells whether a server may be given work now.
    [[nodiscard]] bool allowed(const std::string& id, time_point now) const;

    /// \brief Tells whether a server was ejected and no attempt has reached it since.
    [[nodiscard]] bool is_ejected(const std::string& id) const;

    /// \brief Returns how much longer a server that refused a request should get none;
    /// zero when it may get one.
    [[nodiscard]] duration refusal_backoff_left(const std::string& id,
                                                time_point now) const;

    /// \brief Records that a server wants no requests for a time, which doesn't shorten a
    /// rest that it has asked for before.
    /// \returns whether this begins a rest or prolongs it by `min_prolongation`.
    bool record_rest(const std::string& id, duration rest, time_point now);

    /// \brief Returns how much longer a server rests; zero when it doesn't.
    [[nodiscard]] duration rest_left(const std::string& id, time_point now) const;

    /// \brief Returns how much longer the next request waits at the end of a server's
    /// rest, so that not all come back at once.
    [[nodiscard]] duration return_delay_left(const std::string& id, time_point now) const;

    /// \brief Records that a request chose a server, which delays the next one if the
    /// server's rest has just ended.
    void record_choice(const std::string& id, time_point now);

    /// \brief Returns the moving average of the time that a server takes for a whole
    /// answer; zero when unknown.
    [[nodiscard]] duration typical_latency(const std::string& id) const;

    /// \brief Returns a rank that rises with load, failures and unreachable attempts; a
    /// lower one is better.
    [[nodiscard]] double rank(const std::string& id) const;

    /// \brief Returns the number of attempts under way at a server.
    [[nodiscard]] std::uint32_t attempts_under_way(const std::string& id) const;

    /// \brief Forgets the servers without attempts under way for which `keep` is false.
    template <typename Predicate>
    void forget_idle_unless(Predicate keep)
    {
        std::erase_if(this->servers,
                      [&keep](const auto& item) {
                          return item.second.attempts_under_way == 0 && !keep(item.first);
                      });
    }

  private:
    struct server_health
    {
        std::uint64_t born_ms = 0; ///< 0 when unknown.
        std::uint32_t attempts_under_way = 0;
        std::uint32_t unreachable_in_row = 0;
        double failure_share = 0; ///< Moving average, 0 to 1.
        double latency_ms = 0;    ///< Moving average of whole answers; 0: unknown.
        time_point ejected_until{};
        duration ejection_time{};
        time_point answered_at{};
        time_point refusal_backoff_until{};
        duration refusal_backoff{};
        time_point rest_until{};
        duration return_interval{}; ///< Zero when requests come back freely.
        time_point next_return_at{};
    };

    std::unordered_map<std::string, server_health> servers;
};

} // namespace agateseam
