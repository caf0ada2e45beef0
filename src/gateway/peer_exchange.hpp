/// What entries tell each other: digests by datagram, configurations by request.
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

/// \brief Sends this entry's digest and takes the others'.
class peer_exchange
{
  public:
    /// Called when a peer has a newer configuration than this entry.
    using newer_configuration =
        std::function<void(std::uint64_t version, const std::string& address)>;

    /// \returns `unavailable` when the address can't be bound.
    [[nodiscard]] static result<std::unique_ptr<peer_exchange>>
    create(entry_state& state, newer_configuration on_newer);

    /// \brief Takes the entries that the platform lists.
    void set_entries(const std::vector<registered_entry>& entries);

    /// \brief Returns the address of an entry other than this one, or an empty text.
    [[nodiscard]] std::string any_peer() const;

    void stop();

  private:
    peer_exchange(entry_state& chosen_state, newer_configuration chosen);

    task<void> send_digests();
    task<void> receive();
    bool receive_one();
    void take(std::string_view datagram, const asio::ip::udp::endpoint& from);
    [[nodiscard]] entry_digest make_digest(time_point now);
    void keep_news(entry_digest& digest) const;
    void send(const std::string& datagram, std::size_t most);
    task<void> follow_claims();
    void update_claims();
    void log_changes(time_point now);

    entry_state* state;
    newer_configuration on_newer;
    udp_socket socket;
    wake_signal heard_claims; ///< A digest came since the last sum.
    /// Addresses by entry name; seeds stand under their address until they are heard.
    std::map<std::string, asio::ip::udp::endpoint> peers;
    std::set<std::string> heard; ///< As last logged.
    entry_digest told;           ///< What the others were told last.
    bool stopped = false;
};

/// \brief Serves the configuration document and the list of servers to other entries.
class peer_handler final : public caller_handler
{
  public:
    static constexpr std::string_view configuration_path = "/entry/configuration";
    static constexpr std::string_view servers_path = "/entry/servers";

    explicit peer_handler(entry_state& chosen)
        : state(&chosen)
    {
    }

    task<void> handle(caller_exchange& exchange) override;
    [[nodiscard]] caller_limits limits() const override { return {}; }
    [[nodiscard]] bool closing() const override { return false; }
    void refused(int status, std::string_view reason) override;

  private:
    entry_state* state;
};

} // namespace agateseam
