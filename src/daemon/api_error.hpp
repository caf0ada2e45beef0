/// Error answers in the format that clients of the OpenAI API expect.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/request.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief An error answer to a caller.
struct api_error
{
    int status = 500;
    std::string code; ///< For example "rate_limit_exceeded".
    std::string step;
    run_state run = run_state::not_run;
    std::string message;
    std::chrono::milliseconds retry_after{0}; ///< 0 omits the Retry-After header.
};

/// \brief Converts an error into an error answer.
/// \param run whether the request may have run when the error occurred.
[[nodiscard]] api_error to_api_error(const error& fault, run_state run);

/// \brief Returns the JSON body of an error answer.
[[nodiscard]] std::string to_text(const api_error& refusal);

/// \brief Sends an error answer.
void respond(http_exchange& exchange, const api_error& refusal);

} // namespace agateseam
