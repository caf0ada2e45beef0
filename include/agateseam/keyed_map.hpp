/// Maps whose keys are hashes of names, so that messages between entries hold no names.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/container/flat_map.hpp>

namespace agateseam
{

/// \brief The 64-bit hash of the name of a workspace, a service or a server.
///
/// Two of a million names share a hash with a probability of about 3e-8.
class name_key
{
  public:
    constexpr name_key() noexcept = default;
    name_key(std::string_view name) noexcept;  // NOLINT(google-explicit-constructor)
    name_key(const std::string& name) noexcept // NOLINT(google-explicit-constructor)
        : name_key(std::string_view(name))
    {
    }
    name_key(const char* name) noexcept // NOLINT(google-explicit-constructor)
        : name_key(std::string_view(name))
    {
    }

    [[nodiscard]] static constexpr name_key from_hash(std::uint64_t hash) noexcept
    {
        name_key key;
        key.value = hash;
        return key;
    }

    [[nodiscard]] constexpr std::uint64_t hash() const noexcept { return this->value; }

    [[nodiscard]] friend constexpr bool operator==(name_key left, name_key right) noexcept
    {
        return left.value == right.value;
    }
    [[nodiscard]] friend constexpr bool operator<(name_key left, name_key right) noexcept
    {
        return left.value < right.value;
    }

  private:
    std::uint64_t value = 0;
};

/// \brief Returns a key as 16 hexadecimal digits, for logs and names of objects.
[[nodiscard]] std::string to_hex(name_key key);

/// A sorted array by name, which is copied and merged without an allocation for each
/// item.
template <typename Value>
using keyed_map = boost::container::flat_map<name_key, Value>;

} // namespace agateseam
