#include <agateseam/keyed_map.hpp>

#include <xxhash.h>

namespace agateseam
{

name_key::name_key(std::string_view name) noexcept
    : value(XXH3_64bits(name.data(), name.size()))
{
}

} // namespace agateseam
