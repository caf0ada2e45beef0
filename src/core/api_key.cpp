#include <agateseam/api_key.hpp>

#include <array>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace agateseam
{

namespace
{

constexpr std::size_t id_bytes = 8;
constexpr std::size_t secret_bytes = 24;
constexpr std::size_t salt_bytes = 16;
constexpr std::string_view key_prefix = "agk_";

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index)
    {
        text.push_back(digits[bytes[index] >> 4U]);
        text.push_back(digits[bytes[index] & 0xfU]);
    }
    return text;
}

std::string hash_secret(std::string_view salt, std::string_view secret)
{
    const std::string salted_secret = std::string(salt) + std::string(secret);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(salted_secret.data()),
           salted_secret.size(), digest.data());
    return to_hex(digest.data(), digest.size());
}

} // namespace

result<new_api_key> generate_api_key()
{
    std::array<unsigned char, id_bytes + secret_bytes + salt_bytes> random{};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1)
    {
        return fail(error_code::unavailable, "make key", "",
                    "the random number generator failed");
    }
    const std::string id = to_hex(random.data(), id_bytes);
    const std::string secret = to_hex(random.data() + id_bytes, secret_bytes);
    const std::string salt = to_hex(random.data() + id_bytes + secret_bytes, salt_bytes);
    return new_api_key{std::string(key_prefix) + id + "_" + secret,
                       {id, salt, hash_secret(salt, secret)}};
}

result<api_key_parts> parse_api_key(std::string_view text)
{
    const bool has_prefix = text.starts_with(key_prefix);
    const std::string_view rest = has_prefix ? text.substr(key_prefix.size()) : text;
    const std::size_t separator = rest.find('_');
    if (!has_prefix || separator == 0 || separator == std::string_view::npos ||
        separator + 1 == rest.size())
    {
        return fail(error_code::unauthorized, "authenticate", "",
                    "the key has not the shape of one");
    }
    return api_key_parts{rest.substr(0, separator), rest.substr(separator + 1)};
}

bool constant_time_equal(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool secret_matches(const key_record& record, std::string_view secret)
{
    return constant_time_equal(record.hash, hash_secret(record.salt, secret));
}

} // namespace agateseam
