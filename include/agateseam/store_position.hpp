/// A place in the history of the platform's store.
#pragma once

#include <cstdint>

namespace agateseam
{

/// \brief A revision of the platform's store within an era; later places compare greater.
///
/// Each restoration of the store from a copy begins an era, in which revisions of the era
/// before are given out again, so a revision alone names no place.
struct store_position
{
    std::uint64_t era = 0; ///< 0 for a store that doesn't name its era.
    std::uint64_t revision = 0;

    friend bool operator==(const store_position&, const store_position&) = default;

    /// \brief Orders by era, then by revision.
    friend bool operator<(const store_position& left,
                          const store_position& right) noexcept
    {
        return left.era != right.era ? left.era < right.era
                                     : left.revision < right.revision;
    }
};

} // namespace agateseam
