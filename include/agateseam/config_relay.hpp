/// Decides where an entry gets new configurations from, and whether it may still admit
/// requests under the configuration it has. Does no network calls itself.
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

/// \brief Identity and address of an entry.
struct peer_record
{
    std::string vm;
    std::string address; ///< "IP:port".
    std::string failure_domain;

    friend bool operator==(const peer_record&, const peer_record&) = default;
};

/// \brief Sizes and time spans of the relay.
struct config_relay_options
{
    /// Entries of a failure domain that watch the store.
    std::size_t watchers_per_domain = 2;
    std::size_t fanout = 8; ///< Entries that wait for news at the same parent entry.
    /// For how long a configuration counts as current after it was last confirmed as the
    /// newest.
    duration max_unconfirmed_age = std::chrono::seconds(5);
    /// Time between two probes of peers.
    duration probe_interval = std::chrono::seconds(2);
    /// Time between two probes once the last confirmation is older than a quarter of
    /// `max_unconfirmed_age`.
    duration urgent_probe_interval = std::chrono::milliseconds(250);
    /// For how long a peer is not chosen as parent after a failed call to it.
    duration peer_retry_delay = std::chrono::seconds(2);
};

/// \brief A peer's report on its configuration.
struct peer_config_status
{
    std::uint64_t number = 0; ///< The number of the configuration in force at the peer.
    duration age{0}; ///< Time since that configuration was confirmed as the newest.
};

/// \brief Where to wait for the next configuration: the store or a peer.
struct config_source
{
    bool from_store = true;
    peer_record peer; ///< Only valid when `from_store` is false.
};

/// \brief The relay's state on one entry; thread-safe.
///
/// The entries of a failure domain are ranked by a hash. The first ones watch the store,
/// and each of the others waits at a parent that is ranked before it, so that the number
/// of watches at the store grows with the number of domains and not with the fleet. Every
/// entry also probes its peers in all domains in turn, so that an entry that the tree did
/// not reach still learns of a new configuration.
class config_relay
{
  public:
    [[nodiscard]] static result<std::unique_ptr<config_relay>>
    create(peer_record own, const config_relay_options& options);

    /// \brief Sets the list of entries; this entry is left out if it is among them.
    void set_peers(std::vector<peer_record> entries);

    /// \brief Returns where to wait for the next configuration.
    [[nodiscard]] config_source next_source(time_point now) const;

    /// \brief Returns the peer to probe now, or nothing when no probe is due.
    [[nodiscard]] std::optional<peer_record> next_probe(time_point now);

    /// \brief Records the newest number, as read from the store.
    void record_store_number(time_point now, std::uint64_t store_number);

    /// \brief Records a peer's answer.
    void record_peer_status(std::string_view vm, time_point now,
                            const peer_config_status& status);

    /// \brief Records that a call to a peer failed.
    void record_peer_failure(std::string_view vm, time_point now);

    /// \brief Records the number of the configuration in force on this entry.
    void record_number_in_force(std::uint64_t number);

    /// \brief Tells whether requests may be admitted under the configuration in force.
    ///
    /// True if it was confirmed as the newest within `max_unconfirmed_age`. Otherwise
    /// true if no newer number is known and at least half of the peers that were probed
    /// within `max_unconfirmed_age` also answered within it. An entry without peers needs
    /// a configuration only, since there is nobody to ask.
    [[nodiscard]] bool may_admit(time_point now) const;

    /// \brief Returns the time since the configuration in force was confirmed as the
    /// newest.
    [[nodiscard]] duration confirmation_age(time_point now) const;

    /// \brief Tells whether this entry watches the store itself.
    [[nodiscard]] bool watches_store() const;

  private:
    struct peer_state
    {
        std::optional<time_point> probed_at;
        std::optional<time_point> answered_at;
        std::optional<time_point> failed_at;
    };

    config_relay(peer_record own, const config_relay_options& initial_options);

    [[nodiscard]] std::size_t own_rank_locked() const;
    [[nodiscard]] bool in_retry_delay(const peer_record& peer, time_point now) const;
    [[nodiscard]] duration confirmation_age_locked(time_point now) const;

    peer_record self;
    config_relay_options options;
    mutable std::mutex mutex;
    /// The entries of this entry's failure domain, including itself.
    std::vector<peer_record> ranked_domain_entries;
    std::vector<peer_record> peers; ///< Of all domains, without this entry.
    std::map<std::string, peer_state, std::less<>> peer_states;
    std::uint64_t number_in_force = 0;
    /// The highest number that the store or a peer has reported.
    std::uint64_t highest_known_number = 0;
    /// When the configuration in force was last known to be the newest.
    std::optional<time_point> confirmed_newest_at;
    time_point next_probe_at;
    std::size_t probe_count = 0;
};

} // namespace agateseam
