/// Refusals and failures in the shape that OpenAI's clients read.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/request.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief A refusal as a caller sees it.
struct api_error
{
    int status = 500;
    std::string code; ///< Such as "rate_limit_exceeded".
    std::string step;
    run_state run = run_state::not_run;
    std::string message;
    std::chrono::milliseconds retry_after{0}; ///< 0 leaves the header out.
};

/// \brief Makes a refusal of an error that arose while nothing had run, or might have.
[[nodiscard]] api_error to_api_error(const error& fault, run_state run);

/// \brief Returns the body.
[[nodiscard]] std::string to_text(const api_error& refusal);

/// \brief Answers an exchange with a refusal.
void respond(http_exchange& exchange, const api_error& refusal);

} // namespace agateseam
