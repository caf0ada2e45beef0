/// Reads a JSON document by name, notes every fault with its path, and goes on.
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

/// \brief One fault of a document.
struct document_fault
{
    std::string path;        ///< JSON pointer, such as "/listen/port".
    std::string description; ///< What is wrong there.
};

/// The faults found so far, in document order.
using document_faults = std::vector<document_fault>;

/// \brief Returns the faults as one text, a line each.
[[nodiscard]] std::string join_faults(const document_faults& faults);

/// \brief One object of a document; on destruction it reports the keys nobody asked for.
class section_reader
{
  public:
    section_reader(const nlohmann::json& source, std::string path,
                   document_faults& found_faults);
    ~section_reader();
    section_reader(const section_reader&) = delete;
    section_reader& operator=(const section_reader&) = delete;

    /// \brief Tells whether the key is there; counts as asked for.
    [[nodiscard]] bool has(std::string_view key);

    /// \brief Reads a text; without a fallback the key is required.
    [[nodiscard]] std::string text(std::string_view key,
                                   std::optional<std::string_view> fallback = {});

    /// \brief Reads one of several words; without a fallback the key is required.
    [[nodiscard]] std::string one_of(std::string_view key,
                                     const std::vector<std::string_view>& words,
                                     std::optional<std::string_view> fallback = {});

    /// \brief Reads a whole number within bounds.
    [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t least,
                                       std::int64_t most,
                                       std::optional<std::int64_t> fallback = {});

    /// \brief Reads a number within bounds.
    [[nodiscard]] double number(std::string_view key, double least, double most,
                                std::optional<double> fallback = {});

    /// \brief Reads true or false.
    [[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback = {});

    /// \brief Reads a list of texts; empty when absent.
    [[nodiscard]] std::vector<std::string> texts(std::string_view key);

    /// \brief Returns the named object, or an empty one (a fault if it is required).
    [[nodiscard]] const nlohmann::json& object(std::string_view key, bool required);

    /// \brief Returns the named list, or an empty one.
    [[nodiscard]] const nlohmann::json& list(std::string_view key);

    /// \brief Returns the path of a key of this object.
    [[nodiscard]] std::string path_of(std::string_view key) const;

    /// \brief Notes a fault at a key.
    void fault(std::string_view key, std::string description);

  private:
    [[nodiscard]] const nlohmann::json* find(std::string_view key, bool required);

    const nlohmann::json* source;
    std::string path;
    document_faults* faults;
    std::set<std::string, std::less<>> asked;
};

} // namespace agateseam::impl
