/// Judges backend servers by what came back from them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// What one attempt says about the server that it went to.
enum class server_sign : std::uint8_t
{
    good,     ///< A whole answer that isn't the server's own failure.
    failed,   ///< The server's own failure, such as status 500.
    refused,  ///< Not run: full, leaving, or another incarnation.
    unreached ///< No connection, a broken or garbled answer, or none in time.
};

/// \brief One entry's opinion of each backend server, with a way back in.
///
/// Load pattern: a server that fails part of its requests while its health check is
/// good; one that is dark, so that each request sent there costs its whole time; one that
/// comes back. A server is left out after `strikes` unreached attempts in a row, for a
/// time that doubles; then one request at a time tries it. One that answered others while
/// an attempt waited is slow, not dark, and isn't left out. Failures only lower its rank,
/// since they may be the requests' own. A server that is full refuses; it is left alone
/// for a moment, so that a burst doesn't spend the repeats' budget on refusals.
class server_judge
{
  public:
    static constexpr std::uint32_t strikes = 2;
    static constexpr std::chrono::milliseconds shortest_pause{500};
    static constexpr std::chrono::milliseconds longest_pause{4'000};
    /// In about this time one of a full server's few places is free again.
    static constexpr std::chrono::milliseconds first_refusal_pause{15};
    static constexpr std::chrono::milliseconds longest_refusal_pause{120};

    void begin(const std::string& id);
    void end(const std::string& id, server_sign sign, duration took, time_point now);

    /// \brief Tells whether a server may be given work now.
    [[nodiscard]] bool allowed(const std::string& id, time_point now) const;

    /// \brief Returns how long a server that refused is still left alone; zero if it
    /// isn't.
    [[nodiscard]] duration full_for(const std::string& id, time_point now) const;

    /// \brief Returns the usual time of a server's whole answers; zero when unknown.
    [[nodiscard]] duration usual_time(const std::string& id) const;

    /// \brief Returns a rank that rises with load and bad signs; lower is better.
    [[nodiscard]] double rank(const std::string& id) const;

    /// \brief Returns the attempts under way at a server.
    [[nodiscard]] std::uint32_t open_at(const std::string& id) const;

    /// \brief Forgets servers with nothing under way that aren't in use any more.
    template <typename Predicate>
    void forget_unless(Predicate wanted)
    {
        std::erase_if(this->opinions, [&wanted](const auto& item)
                      { return item.second.open == 0 && !wanted(item.first); });
    }

  private:
    struct opinion
    {
        std::uint32_t open = 0;
        std::uint32_t unreached_in_row = 0;
        double failure_share = 0; ///< Moving average, 0 to 1.
        double latency_ms = 0;    ///< Moving average of whole answers; 0: unknown.
        time_point shunned_until{};
        duration pause{};
        time_point answered_at{};
        time_point full_until{};
        duration refusal_pause{};
    };

    std::unordered_map<std::string, opinion> opinions;
};

} // namespace agateseam
