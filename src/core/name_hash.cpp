#include <agateseam/impl/name_hash.hpp>

#include <xxhash.h>

namespace agateseam::impl
{

std::size_t name_hash::operator()(std::string_view name) const noexcept
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace agateseam::impl
