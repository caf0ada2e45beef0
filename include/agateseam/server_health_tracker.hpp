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
/// retry budget on refusals.
class server_health_tracker
{
  public:
    static constexpr std::uint32_t ejection_threshold = 2;
    static constexpr std::chrono::milliseconds min_ejection{500};
    static constexpr std::chrono::milliseconds max_ejection{4'000};
    /// In about this time one of a full server's few slots is free again.
    static constexpr std::chrono::milliseconds min_refusal_backoff{15};
    static constexpr std::chrono::milliseconds max_refusal_backoff{120};

    void begin(const std::string& id);
    void end(const std::string& id, server_observation observation, duration elapsed,
             time_point now);

    /// \brief Ends an attempt that was not sent and says nothing about the server.
    void withdraw(const std::string& id);

    /// \brief Tells whether a server may be given work now.
    [[nodiscard]] bool allowed(const std::string& id, time_point now) const;

    /// \brief Returns how much longer a server that refused a request should get none;
    /// zero when it may get one.
    [[nodiscard]] duration refusal_backoff_left(const std::string& id,
                                                time_point now) const;

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
        std::uint32_t attempts_under_way = 0;
        std::uint32_t unreachable_in_row = 0;
        double failure_share = 0; ///< Moving average, 0 to 1.
        double latency_ms = 0;    ///< Moving average of whole answers; 0: unknown.
        time_point ejected_until{};
        duration ejection_time{};
        time_point answered_at{};
        time_point refusal_backoff_until{};
        duration refusal_backoff{};
    };

    std::unordered_map<std::string, server_health> servers;
};

} // namespace agateseam
