/// Decides from whom an entry learns of new configurations, and whether it may still go
/// by the one it has. Sends nothing itself.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief Another entry.
struct peer_record
{
    std::string vm;
    std::string address; ///< "IP:port".
    std::string failure_domain;

    friend bool operator==(const peer_record&, const peer_record&) = default;
};

/// \brief Sizes and times of the relay.
struct config_relay_options
{
    std::size_t watchers = 2; ///< Entries of a failure domain that watch the store.
    std::size_t fanout = 8;   ///< Entries that wait at one other entry.
    duration cutoff = std::chrono::seconds(5); ///< Without word that it is current.
    duration probe_interval = std::chrono::seconds(2);
    duration urgent_interval = std::chrono::milliseconds(250); ///< While unconfirmed.
    duration parent_pause = std::chrono::seconds(2); ///< After a failed call to a peer.
};

/// \brief What a peer said about its configuration.
struct peer_word
{
    std::uint64_t number = 0;
    duration age{0}; ///< Since the peer last knew its configuration to be the newest.
};

/// \brief Where to wait for the next configuration.
struct config_step
{
    bool at_store = true;
    peer_record peer; ///< Valid unless at the store.
};

/// \brief The relay's state on one entry; safe for several threads.
///
/// Entries of a failure domain are ranked by a hash. The first ones watch the store, each
/// of the others waits at one ranked before it, so that waiting watches grow with the
/// number of domains and not with the fleet. Every entry also asks one other after
/// another, in any domain, which repairs what the tree missed.
class config_relay
{
  public:
    [[nodiscard]] static result<std::unique_ptr<config_relay>>
    create(peer_record own, const config_relay_options& options);

    /// \brief Sets the other entries; the own one is left out if it is among them.
    void set_peers(std::vector<peer_record> listed);

    /// \brief Returns where to wait next.
    [[nodiscard]] config_step next_step(time_point now) const;

    /// \brief Returns the peer to ask out of turn, if one is due.
    [[nodiscard]] std::optional<peer_record> next_probe(time_point now);

    /// \brief Notes that the store told the newest number.
    void heard_store(time_point now, std::uint64_t newest);

    /// \brief Notes a peer's answer, or that it gave none.
    void heard_peer(std::string_view vm, time_point now, const peer_word& word);
    void peer_failed(std::string_view vm, time_point now);

    /// \brief Notes the number in force here.
    void in_force(std::uint64_t number);

    /// \brief Tells whether requests may be admitted under the configuration in force.
    ///
    /// True while it was known to be the newest within the cutoff; or if half or more of
    /// the peers asked since then have answered, none with a newer one; or without peers.
    [[nodiscard]] bool may_admit(time_point now) const;

    /// \brief Returns how long ago the configuration in force was known to be the newest.
    [[nodiscard]] duration age(time_point now) const;

    /// \brief Tells whether this entry is one that watches the store.
    [[nodiscard]] bool watches() const;

  private:
    struct peer_state
    {
        std::optional<time_point> asked;
        std::optional<time_point> answered;
        std::optional<time_point> failed;
    };

    config_relay(peer_record own, const config_relay_options& chosen);

    [[nodiscard]] std::size_t own_rank() const;
    [[nodiscard]] bool paused(const peer_record& peer, time_point now) const;
    [[nodiscard]] duration age_locked(time_point now) const;

    peer_record self;
    config_relay_options options;
    mutable std::mutex mutex;
    std::vector<peer_record> ranked; ///< Of the own domain, the own entry included.
    std::vector<peer_record> others; ///< Of all domains, without the own entry.
    std::map<std::string, peer_state, std::less<>> states;
    std::uint64_t number = 0;
    std::uint64_t newest = 0; ///< The highest number that anybody named.
    std::optional<time_point> confirmed;
    time_point next_probe_at;
    std::size_t probe_turn = 0;
};

} // namespace agateseam
