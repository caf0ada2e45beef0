/// Single calls to model servers, such as reserve, release, prefill and forget.
#pragma once

#include <gateway/request_scope.hpp>

namespace agateseam
{

/// \brief The answer to a call, or how the call ended without one.
struct engine_call_result
{
    io_outcome end = io_outcome::not_sent;
    bool withheld = false; ///< Not sent, as the server accepts no work or is paced.
    std::size_t received_bytes = 0; ///< Of the answer, also when it is incomplete.
    message_head head;
    std::string body;
};

/// \brief Sends a call over a pooled or new connection and reads the whole answer, unless
/// the server accepts no work.
/// \param server must outlive the call.
/// \param request_id the request that the answer must name, or empty for a call without
/// one (see `make_reply_filter`).
/// \param caller the call ends when this caller disconnects; may be null.
task<engine_call_result> call_engine(entry_state& state, const backend_server& server,
                                     std::string head,
                                     std::shared_ptr<const std::string> body,
                                     std::string request_id, time_point deadline,
                                     caller_exchange* caller);

/// \brief Sends a call that frees what a server holds in the background, also to a server
/// that leaves, and logs it when it fails. Sends nothing to a server that rests, limits
/// its requests or has to wait for its pace: what it holds expires by itself.
void release_at_engine(entry_state& state, const backend_server& server, std::string head,
                       std::string_view step);

/// \brief Sends a call to another entry and reads the whole answer.
/// \param max_pause without a byte of the answer.
/// \param max_time for the whole call.
task<engine_call_result> call_entry(entry_state& state, const std::string& address,
                                    std::string head, duration max_pause,
                                    duration max_time);

} // namespace agateseam
