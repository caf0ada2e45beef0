/// The parts of a caller's model request that the entry reads.
#pragma once

#include <cstdint>
#include <string>

#include <agateseam/error.hpp>
#include <daemon/settings.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief The values that the entry needs from a request; the body is forwarded
/// unchanged.
struct model_request_parts
{
    std::string model;
    bool chat = false;
    bool stream = false;
    bool include_usage = false;
    std::uint32_t prompt_tokens = 0; ///< Estimated from the prompt's size in bytes.
    std::uint32_t output_tokens = 0; ///< Upper limit of the answer.
};

/// \brief Validates a request's body and reads its parts in one pass, without building
/// the JSON document.
///
/// \returns `invalid` when the body is not a JSON object, is nested
/// too deeply, repeats a member that is read here or gives it a wrong type, or sets a
/// reserved member.
[[nodiscard]] result<model_request_parts>
read_model_request(const http_request& request, const limit_settings& limits);

} // namespace agateseam
