/// Parses addresses and names HTTP status codes.
#pragma once

#include <string_view>

#include <agateseam/error.hpp>
#include <transport/event_loop.hpp>

namespace agateseam
{

/// \brief Parses an address of the form "IP:port".
[[nodiscard]] result<tcp_endpoint> parse_endpoint(std::string_view address);

/// \brief Returns the standard reason phrase of an HTTP status code.
[[nodiscard]] std::string_view reason_phrase(int status) noexcept;

} // namespace agateseam
