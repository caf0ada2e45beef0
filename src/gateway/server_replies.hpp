/// Reads the heads of backend servers' replies and records what they say about their
/// server.
#pragma once

#include <string>

#include <gateway/entry_state.hpp>

namespace agateseam
{

/// \brief Reads the head of a server's reply.
///
/// Records what each reply on the connection says about its server, also a late reply to
/// another request, which is skipped.
/// \param server to which the connection's requests were sent; must outlive the call.
/// \param request_id the request that the reply may name.
task<io_outcome> read_reply_head(entry_state& state, const backend_server& server,
                                 upstream_connection& link, std::string request_id,
                                 time_point deadline);

} // namespace agateseam
