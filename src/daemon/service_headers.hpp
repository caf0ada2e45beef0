/// The header fields that a plain service gets as its caller sent them.
#pragma once

#include <string_view>
#include <vector>

#include <net/http_server.hpp>

namespace agateseam
{

/// Names the event after which a caller resumes a stream.
inline constexpr std::string_view last_event_header = "Last-Event-Id";

/// \brief Returns the header fields of a call that go from its caller to the entry, from
/// there to the agent, and on to the service.
[[nodiscard]] std::vector<http_header> service_headers(const http_request& request);

} // namespace agateseam
