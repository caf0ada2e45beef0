/// Single calls to model servers, such as reserve, release, prefill and forget.
#pragma once

#include <gateway/request_scope.hpp>

namespace agateseam
{

/// \brief The answer to a call, or how the call ended without one.
struct engine_call_result
{
    io_outcome end = io_outcome::not_sent;
    message_head head;
    std::string body;
};

/// \brief Sends a call over a pooled or new connection and reads the whole answer.
/// \param request_id the request that the answer must name, or empty for a call without
/// one (see `make_reply_filter`).
/// \param caller the call ends when this caller disconnects; may be null.
task<engine_call_result> call_engine(entry_state& state, const std::string& address,
                                     std::string head,
                                     std::shared_ptr<const std::string> body,
                                     std::string request_id, time_point deadline,
                                     caller_exchange* caller);

/// \brief Sends a call in the background and logs it when it fails.
void call_engine_detached(entry_state& state, const std::string& address,
                          std::string head, std::string_view step);

} // namespace agateseam
