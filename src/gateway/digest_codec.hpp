/// Encoding of an entry's digest as MessagePack in one datagram.
#pragma once

#include <string>
#include <string_view>

#include <agateseam/fleet_ledger.hpp>

namespace agateseam
{

[[nodiscard]] std::string encode_digest(const entry_digest& digest);

/// \returns `invalid` when the bytes don't encode a digest.
[[nodiscard]] result<entry_digest> decode_digest(std::string_view bytes);

} // namespace agateseam
