/// API keys of callers: generated once, stored as salted hashes, compared in constant
/// time.
#pragma once

#include <string>
#include <string_view>

#include <agateseam/configuration.hpp>

namespace agateseam
{

/// \brief A newly generated key: the text for its owner and the record for the
/// configuration.
struct new_api_key
{
    std::string text; ///< "agk_ID_SECRET"; shown to the owner once and never stored.
    key_record record;
};

/// \brief The parts of a key that a caller sent, as views into the caller's text.
struct api_key_parts
{
    std::string_view id;
    std::string_view secret;
};

/// \brief Generates a key from OpenSSL's secure random number generator.
[[nodiscard]] result<new_api_key> generate_api_key();

/// \brief Splits a key's text into id and secret.
/// \returns `unauthorized` when the text is not of the form "agk_ID_SECRET".
[[nodiscard]] result<api_key_parts> parse_api_key(std::string_view text);

/// \brief Tells whether the secret belongs to the record. The hashes are compared in
/// constant time.
[[nodiscard]] bool secret_matches(const key_record& record, std::string_view secret);

/// \brief Compares two secrets; the time it takes does not depend on where they differ.
[[nodiscard]] bool constant_time_equal(std::string_view left,
                                       std::string_view right) noexcept;

} // namespace agateseam
