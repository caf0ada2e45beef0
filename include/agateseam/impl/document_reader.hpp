/// Reads typed values from a JSON document. Errors are collected with their paths, and
/// reading continues after them.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace agateseam::impl
{

/// \brief One error in a document.
struct document_error
{
    std::string path;        ///< JSON pointer, such as "/listen/port".
    std::string description; ///< What is wrong at the path.
};

/// The errors found so far, in the order in which they were found.
using document_errors = std::vector<document_error>;

/// \brief Returns the errors as a text with one line for each.
[[nodiscard]] std::string join_errors(const document_errors& errors);

/// \brief Reads one object of a document. The destructor reports each key that was never
/// read as an unknown key.
class section_reader
{
  public:
    section_reader(const nlohmann::json& source, std::string path,
                   document_errors& found_errors);
    ~section_reader();
    section_reader(const section_reader&) = delete;
    section_reader& operator=(const section_reader&) = delete;

    /// \brief Tells whether the key is present, and marks it as read.
    [[nodiscard]] bool has(std::string_view key);

    /// \brief Reads a string; without a fallback the key is required.
    [[nodiscard]] std::string text(std::string_view key,
                                   std::optional<std::string_view> fallback = {});

    /// \brief Reads a string that must be one of the words; without a fallback the key is
    /// required.
    [[nodiscard]] std::string one_of(std::string_view key,
                                     const std::vector<std::string_view>& words,
                                     std::optional<std::string_view> fallback = {});

    /// \brief Reads an integer from `minimum` to `maximum`; without a fallback the key is
    /// required.
    [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t minimum,
                                       std::int64_t maximum,
                                       std::optional<std::int64_t> fallback = {});

    /// \brief Reads a number from `minimum` to `maximum`; without a fallback the key is
    /// required.
    [[nodiscard]] double number(std::string_view key, double minimum, double maximum,
                                std::optional<double> fallback = {});

    /// \brief Reads a Boolean; without a fallback the key is required.
    [[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback = {});

    /// \brief Reads a list of strings; empty when the key is absent.
    [[nodiscard]] std::vector<std::string> string_list(std::string_view key);

    /// \brief Returns the object at a key, or an empty one when it is absent, which is an
    /// error if it is required.
    [[nodiscard]] const nlohmann::json& object(std::string_view key, bool required);

    /// \brief Returns the list at a key, or an empty one when it is absent.
    [[nodiscard]] const nlohmann::json& list(std::string_view key);

    /// \brief Returns the JSON pointer to a key of this object.
    [[nodiscard]] std::string path_of(std::string_view key) const;

    /// \brief Adds an error at a key.
    void add_error(std::string_view key, std::string description);

  private:
    /// Returns the value of a key and marks the key as read; null when it is absent.
    [[nodiscard]] const nlohmann::json* find(std::string_view key, bool required);

    const nlohmann::json* source;
    std::string path;
    document_errors* errors;
    std::set<std::string, std::less<>> read_keys;
};

} // namespace agateseam::impl
