/// Single calls to model servers: reserve, release, prefill, forget.
#pragma once

#include <gateway/request_scope.hpp>

namespace agateseam
{

/// \brief A call's answer, or how it ended without one.
struct engine_answer
{
    io_outcome end = io_outcome::not_sent;
    message_head head;
    std::string body;
};

/// \brief Sends a call over a kept or new connection and reads the whole answer.
/// \param request_id the request that an answer may name; others are skipped.
/// \param gone ends the call when the caller goes; may be null.
task<engine_answer> call_engine(entry_state& state, const std::string& address,
                                std::string head, std::shared_ptr<const std::string> body,
                                std::string request_id, time_point until,
                                caller_exchange* gone);

/// \brief Sends a call whose answer nobody waits for; a failed one is logged.
void post_engine(entry_state& state, const std::string& address, std::string head,
                 std::string_view step);

} // namespace agateseam
