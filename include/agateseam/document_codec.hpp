/// Compresses documents that entries pass on to each other, alone or as the difference
/// from one that the reader already has.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief Returns a hash by which two entries tell whether they have the same document.
[[nodiscard]] std::uint64_t document_hash(std::string_view document) noexcept;

/// \brief Compresses a text as one Zstandard frame.
/// \param base a text that the reader has, or empty; parts that stand in it cost a few
/// bytes.
/// \returns `internal` when there is not enough memory.
[[nodiscard]] result<std::string> compress_document(std::string_view text,
                                                    std::string_view base = {});

/// \brief Restores a text that `compress_document` compressed against the same base.
/// \param max_bytes a larger text is refused.
/// \returns `invalid` when the bytes are damaged, don't state their size, or were
/// compressed against another base.
[[nodiscard]] result<std::string> expand_document(std::string_view bytes,
                                                  std::size_t max_bytes,
                                                  std::string_view base = {});

} // namespace agateseam
