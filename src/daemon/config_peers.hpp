/// Hands configurations to peer entries: those that wait, and those that ask.
#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/config_relay.hpp>
#include <agateseam/config_store.hpp>
#include <net/http_client.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief A peer's answer: what it has that the asker has not.
struct peer_answer
{
    peer_config_status word;
    std::vector<config_change> changes; ///< After the asker's number, oldest first.
    std::string document; ///< Empty when the changes' diffs lead to it, or none is newer.
    std::string check;    ///< Hash of the document that the diffs lead to.
};

/// \brief Reads a peer's answer.
[[nodiscard]] result<peer_answer> parse_peer_answer(std::string_view text);

/// \brief Makes the newer state of an own one and a peer's answer.
/// \returns `conflict` when the diffs do not lead to the peer's document: ask it for the
/// whole.
[[nodiscard]] result<config_state> apply_answer(const config_state& own,
                                                peer_answer answer);

/// \brief Makes the call that asks a peer for what is newer than a number.
/// \param wait how long the peer may hold the call while it has nothing newer.
[[nodiscard]] http_call make_peer_call(const peer_record& peer, std::string_view secret,
                                       std::uint64_t after,
                                       std::chrono::milliseconds wait);

/// \brief The peers that wait here for the next configuration; safe for several threads.
class config_peers
{
  public:
    /// \param clock, relay must outlive the result.
    config_peers(const clock_source& clock, const config_relay& relay);

    /// \brief Answers GET /peer/config?after=N&wait_ms=M, now or once there is news.
    void answer(std::shared_ptr<http_exchange> exchange);

    /// \brief Sets the state to hand out and answers those that wait for it.
    void publish(std::shared_ptr<const config_state> newest);

    /// \brief Answers those whose time to wait is over.
    void expire();

    /// \brief Returns the newest state; null before the first.
    [[nodiscard]] std::shared_ptr<const config_state> current() const;

  private:
    struct waiting_peer
    {
        std::shared_ptr<http_exchange> exchange;
        std::uint64_t after = 0;
        time_point until;
    };

    void respond(http_exchange& exchange, const config_state* newest,
                 std::uint64_t after) const;

    const clock_source* clock;
    const config_relay* relay;
    mutable std::mutex mutex;
    std::shared_ptr<const config_state> state;
    std::vector<waiting_peer> waiting;
};

} // namespace agateseam
