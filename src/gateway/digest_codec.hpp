/// Encoding of the messages between entries: digests as MessagePack in one datagram,
/// lists of servers as JSON.
#pragma once

#include <string>
#include <string_view>

#include <agateseam/fleet_ledger.hpp>

namespace agateseam
{

[[nodiscard]] std::string encode_digest(const entry_digest& digest);

/// \returns `invalid` when the bytes don't encode a digest.
[[nodiscard]] result<entry_digest> decode_digest(std::string_view bytes);

/// \brief The backend servers that an entry knows.
struct server_list
{
    bool store_reachable =
        false; ///< Whether the sender reaches the store, so that its list is fresh.
    std::vector<backend_server> servers;
};

[[nodiscard]] std::string encode_servers(const server_list& report);

/// \returns `invalid` when the bytes don't encode a server list.
[[nodiscard]] result<server_list> decode_servers(std::string_view bytes);

} // namespace agateseam
