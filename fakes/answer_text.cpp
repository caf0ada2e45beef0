#include <fakes/answer_text.hpp>

#include <array>
#include <charconv>

#include <openssl/sha.h>

namespace agateseam::fakes
{

namespace
{

constexpr std::size_t seed_hex_digits = 16;
constexpr std::size_t token_hex_digits = 6;
constexpr std::uint32_t min_answer_tokens = 8;
constexpr std::uint32_t answer_length_range_tokens = 64;
constexpr std::size_t bytes_per_token = 4;

std::string sha256_hex(std::string_view text, std::size_t digit_count)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    constexpr std::string_view hex_alphabet = "0123456789abcdef";
    std::string hex;
    for (std::size_t index = 0; index * 2 < digit_count; ++index)
    {
        hex.push_back(hex_alphabet[digest[index] >> 4U]);
        hex.push_back(hex_alphabet[digest[index] & 0xfU]);
    }
    return hex;
}

} // namespace

std::string prompt_seed(std::string_view prompt)
{
    return sha256_hex(prompt, seed_hex_digits);
}

std::string token_text(std::string_view seed, std::uint32_t index)
{
    return " " +
           sha256_hex(std::string(seed) + ":" + std::to_string(index), token_hex_digits);
}

std::uint32_t natural_length(std::string_view seed)
{
    std::uint32_t value = 0;
    std::from_chars(seed.data(), seed.data() + 4, value, 16);
    return min_answer_tokens + value % answer_length_range_tokens;
}

std::uint32_t count_tokens(std::string_view text) noexcept
{
    return static_cast<std::uint32_t>((text.size() + bytes_per_token - 1) /
                                      bytes_per_token);
}

} // namespace agateseam::fakes
