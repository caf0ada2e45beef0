/// Serves configurations to peer entries, at once or by long polling.
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

/// \brief A peer's answer: the changes that the asking entry lacks.
struct peer_answer
{
    peer_config_status status;
    /// Changes after the asking entry's number, oldest first.
    std::vector<config_change> changes;
    std::string document;      ///< Empty when the diffs suffice or nothing is newer.
    std::string document_hash; ///< Hash of the document that results from the diffs.
};

/// \brief Parses a peer's answer.
[[nodiscard]] result<peer_answer> parse_peer_answer(std::string_view text);

/// \brief Applies a peer's answer to this entry's state and returns the newer state.
/// \returns `conflict` when the diffs do not result in the peer's document; the caller
/// should then ask the peer for the complete document.
[[nodiscard]] result<config_state> apply_answer(const config_state& own,
                                                peer_answer answer);

/// \brief Makes the call that asks a peer for changes newer than a number.
/// \param wait how long the peer may delay its answer while it has nothing newer.
[[nodiscard]] http_call make_peer_call(const peer_record& peer, std::string_view secret,
                                       std::uint64_t after,
                                       std::chrono::milliseconds wait);

/// \brief Answers peers and keeps those that wait for a newer configuration; thread-safe.
class config_peers
{
  public:
    /// \param clock, relay must outlive the result.
    config_peers(const clock_source& clock, const config_relay& relay);

    /// \brief Answers GET /peer/config?after=N&wait_ms=M, at once or when there is a
    /// newer configuration.
    void answer(std::shared_ptr<http_exchange> exchange);

    /// \brief Sets the state to serve and answers the peers that wait for it.
    void publish(std::shared_ptr<const config_state> newest);

    /// \brief Answers the peers whose wait has expired or that have disconnected.
    void expire();

    /// \brief Returns the newest state; null before the first `publish`.
    [[nodiscard]] std::shared_ptr<const config_state> current() const;

  private:
    struct waiting_peer
    {
        std::shared_ptr<http_exchange> exchange;
        std::uint64_t after = 0;
        time_point deadline;
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
