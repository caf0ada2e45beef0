/// How entries send documents to each other: compressed, and as the difference from a
/// document that the receiver has.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>
#include <agateseam/store_availability.hpp>
#include <transport/caller_connection.hpp>

namespace agateseam
{

/// \brief A document as another entry gets it.
struct transferred_document
{
    std::string bytes;
    bool is_compressed = false;  ///< By `compress_document`.
    std::uint64_t base_hash = 0; ///< Of the text it was compressed against; 0: none.
    /// What the sender knows of the platform's store, if that is its source.
    std::optional<store_report> store;
};

/// \brief Returns the query parameter by which a receiver says that it takes compressed
/// documents, and which text it has.
/// \param base may be empty.
[[nodiscard]] std::string transfer_parameter(std::string_view base);

/// \brief Returns the hash that `transfer_parameter` put into a query; 0 for a receiver
/// without a text, no value for one that takes no compressed documents.
[[nodiscard]] std::optional<std::uint64_t>
read_transfer_parameter(std::string_view query);

/// \brief Returns a number in a query such as "kind=a&after=7".
[[nodiscard]] std::optional<std::uint64_t> query_number(std::string_view query,
                                                        std::string_view key);

/// \brief Compresses a text unless it is short.
/// \param base the text that the receiver has, or empty.
[[nodiscard]] transferred_document encode_transfer(std::string text,
                                                   std::string_view base);

/// \brief Answers with a document.
task<bool> answer_transfer(caller_exchange& exchange, transferred_document document);

/// \brief Returns what the sender of an answer reports of the platform's store; no value
/// if it reports nothing.
[[nodiscard]] std::optional<store_report> read_store_report(const message_head& head);

/// \brief Restores the document of an answer.
/// \param base the text that the request named.
/// \returns `invalid` when the answer was compressed against another text, or is damaged.
[[nodiscard]] result<std::string> decode_transfer(const message_head& head,
                                                  std::string body, std::string_view base,
                                                  std::size_t max_bytes);

} // namespace agateseam
