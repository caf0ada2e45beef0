#include <agateseam/keyed_map.hpp>

#include <cinttypes>
#include <cstdio>

#include <xxhash.h>

namespace agateseam
{

name_key::name_key(std::string_view name) noexcept
    : value(XXH3_64bits(name.data(), name.size()))
{
}

std::string to_hex(name_key key)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016" PRIx64, key.hash());
    return digits;
}

} // namespace agateseam
