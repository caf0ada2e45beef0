/// Communication between entries: digests by datagram, configurations and the platform's
/// objects by request.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gateway/entry_state.hpp>
#include <gateway/platform_link.hpp>

namespace agateseam
{

/// \brief Sends this entry's digests and receives those of the others.
class peer_exchange
{
  public:
    /// Callback for a peer that has a newer configuration than this entry.
    using newer_configuration_callback =
        std::function<void(std::uint64_t version, const std::string& address)>;

    /// \returns `unavailable` when the address can't be bound.
    [[nodiscard]] static result<std::unique_ptr<peer_exchange>>
    create(entry_state& state, platform_link& link,
           newer_configuration_callback on_newer_configuration);

    /// \brief Replaces the known entries by those that the platform lists.
    void set_entries(const std::vector<registered_entry>& entries);

    /// \brief Sets who receives the datagrams about streams.
    /// \param callback returns false for other datagrams.
    void set_origin_callback(
        std::function<bool(std::string_view, const asio::ip::udp::endpoint&)> callback)
    {
        this->on_origin = std::move(callback);
    }

    /// \brief Returns the names of the other entries; only their addresses, when no name
    /// is known yet.
    [[nodiscard]] std::vector<std::string> entry_names() const;
    [[nodiscard]] asio::ip::udp::endpoint endpoint_of(const std::string& entry) const;
    /// \brief Sends a datagram, which may be lost.
    void send(const std::string& datagram, const asio::ip::udp::endpoint& to);

    /// \brief Returns another entry's address; empty when it isn't known.
    [[nodiscard]] std::string address_of(const std::string& entry) const;

    void stop();

  private:
    peer_exchange(entry_state& entry, platform_link& entry_link,
                  newer_configuration_callback callback);

    task<void> send_digests();
    task<void> receive();
    bool receive_one();
    void handle_datagram(std::string_view datagram, const asio::ip::udp::endpoint& from);
    [[nodiscard]] entry_digest make_digest(time_point now);
    [[nodiscard]] evacuation_reports make_evacuation_reports(digest_scope scope,
                                                             time_point recent) const;
    void send_datagram(const std::string& datagram, std::size_t max_peers);
    task<void> update_claims_periodically();
    template <typename Action>
    void for_each_engine_service(Action action);
    void update_changed_claims();
    void update_all_claims();
    void log_reachability_changes(time_point now);

    entry_state* state;
    platform_link* link;
    newer_configuration_callback on_newer_configuration;
    std::function<bool(std::string_view, const asio::ip::udp::endpoint&)> on_origin;
    udp_socket socket;
    wake_signal digest_received; ///< Notified when a digest arrives.
    /// Addresses by entry name. A seed's key is its address; its name comes with a
    /// digest.
    std::map<std::string, asio::ip::udp::endpoint> peers;
    std::set<std::string> reachable; ///< Entries that were reachable at the last log.
    digest_reducer reducer;
    bool stopped = false;
};

/// \brief Serves the configuration document and the platform's objects to other entries.
class peer_handler final : public caller_handler
{
  public:
    static constexpr std::string_view configuration_path = "/entry/configuration";
    /// With a query that the platform's link reads.
    static constexpr std::string_view objects_path = "/entry/objects";

    peer_handler(entry_state& entry, platform_link& entry_link)
        : state(&entry)
        , link(&entry_link)
    {
    }

    task<void> handle(caller_exchange& exchange) override;
    [[nodiscard]] caller_limits limits() const override { return {}; }
    [[nodiscard]] bool closing() const override { return false; }
    void refused(int status, std::string_view reason) override;

  private:
    /// Returns the configuration in force; empty before any.
    [[nodiscard]] transferred_document configuration_for(std::string_view query);

    entry_state* state;
    platform_link* link;
    /// The configuration of this version, for the entries that fetch it one by one.
    transferred_document compressed_configuration;
    std::uint64_t compressed_version = 0;
};

} // namespace agateseam
