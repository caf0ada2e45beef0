/// A hash for maps with string keys that are searched with a `std::string_view`.
#pragma once

#include <cstddef>
#include <string_view>

namespace agateseam::impl
{

/// \brief A transparent hash of strings.
struct name_hash
{
    using is_transparent = void;

    [[nodiscard]] std::size_t operator()(std::string_view name) const noexcept;
};

} // namespace agateseam::impl
