/// Parses addresses and names HTTP status codes.
#pragma once

#include <string_view>

#include <agateseam/error.hpp>
#include <transport/event_loop.hpp>

namespace agateseam
{

/// \brief Parses an address of the form "IP:port".
[[nodiscard]] result<tcp_endpoint> parse_endpoint(std::string_view address);

/// The receive buffer of a socket, in bytes. It bounds what the kernel keeps of what the
/// process doesn't read.
inline constexpr int receive_buffer_size = 65'536;

/// \brief Bounds what the kernel keeps of what the peer doesn't read.
void limit_unsent_bytes(tcp_socket& socket) noexcept;

/// \brief Returns the standard reason phrase of an HTTP status code.
[[nodiscard]] std::string_view reason_phrase(int status) noexcept;

} // namespace agateseam
