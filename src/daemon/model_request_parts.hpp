/// What the entry reads of a caller's request to a model.
#pragma once

#include <cstdint>
#include <string>

#include <agateseam/error.hpp>
#include <daemon/settings.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief What the entry needs to know of a request; the body itself passes unchanged.
struct model_request_parts
{
    std::string model;
    bool chat = false;
    bool stream = false;
    bool include_usage = false;
    std::uint32_t prompt_tokens = 0; ///< Estimated from the prompt's bytes.
    std::uint32_t output_tokens = 0; ///< The most that may be produced.
};

/// \brief Checks a request's body and reads what routing needs, in one pass and without
/// building the document.
/// \returns `invalid` when the body is not a JSON object, nests too deep, repeats or
/// mistypes a member that matters here, or sets one that is the system's own.
[[nodiscard]] result<model_request_parts>
read_model_request(const http_request& request, const limit_settings& limits);

} // namespace agateseam
