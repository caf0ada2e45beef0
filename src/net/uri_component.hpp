/// Encodes text of any kind for the path or the query of a request.
#pragma once

#include <string>
#include <string_view>

namespace agateseam
{

/// \brief Percent-encodes a text as one segment of a path or one value of a query.
///
/// Only the unreserved characters of RFC 3986 stay as they are: letters, digits and
/// "-._~". A blank becomes "%20".
[[nodiscard]] std::string encode_uri_component(std::string_view text);

} // namespace agateseam
