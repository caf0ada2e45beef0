/// Hashes names for maps that are searched by a view.
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
