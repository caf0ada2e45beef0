/// Callers' keys: made once, kept as salted hashes, compared in constant time.
#pragma once

#include <string>
#include <string_view>

#include <agateseam/configuration.hpp>

namespace agateseam
{

/// \brief A new key: the text for its owner, the record for the configuration.
struct new_api_key
{
    std::string text; ///< "agk_ID_SECRET"; shown once, never stored.
    key_record record;
};

/// \brief The parts of a key as a caller sent it; views into the caller's text.
struct api_key_parts
{
    std::string_view id;
    std::string_view secret;
};

/// \brief Makes a key from the operating system's random source.
[[nodiscard]] result<new_api_key> make_api_key();

/// \brief Takes a key's text apart; `unauthorized` when it has not the shape of one.
[[nodiscard]] result<api_key_parts> split_api_key(std::string_view text);

/// \brief Tells whether the secret belongs to the record, in time that does not depend on
/// where they differ.
[[nodiscard]] bool matches(const key_record& record, std::string_view secret);

/// \brief Compares two secrets in time that does not depend on where they differ.
[[nodiscard]] bool equal_secrets(std::string_view left, std::string_view right) noexcept;

} // namespace agateseam
