#include <agateseam/claim.hpp>

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t claim_hash_bytes = 16;

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t index = 0; index < size; ++index)
    {
        text.push_back(digits[bytes[index] >> 4U]);
        text.push_back(digits[bytes[index] & 0xfU]);
    }
    return text;
}

/// Hashes the parts with their lengths, so that different lists of parts with the same
/// concatenation get different hashes.
std::string hash_parts(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts)
    {
        joined += std::to_string(part.size()) + ":";
        joined += part;
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(joined.data()), joined.size(),
           digest.data());
    return to_hex(digest.data(), claim_hash_bytes);
}

/// Encodes a body as Base64, because it may hold bytes that JSON text can't.
std::string encode_body(std::string_view body)
{
    std::string text(4 * ((body.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(body.data()),
                                     static_cast<int>(body.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// Decodes Base64; `size` is the length of the decoded body, without padding.
std::string decode_body(std::string_view text, std::size_t size)
{
    std::string body(text.size() / 4 * 3 + 1, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(body.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
    body.resize(std::min(size, body.size()));
    return body;
}

std::int64_t to_milliseconds(wall_time time) noexcept
{
    return time.time_since_epoch().count();
}

wall_time to_wall_time(std::int64_t milliseconds) noexcept
{
    return wall_time{std::chrono::milliseconds(milliseconds)};
}

json to_json(const call_outcome& outcome)
{
    return {{"status", outcome.status},
            {"run", to_string(outcome.run)},
            {"type", outcome.content_type},
            {"size", outcome.body.size()},
            {"body", encode_body(outcome.body)}};
}

call_outcome read_outcome(const json& item)
{
    call_outcome outcome;
    item.at("status").get_to(outcome.status);
    outcome.run = item.at("run").get<std::string>() == to_string(run_state::ran)
                      ? run_state::ran
                      : run_state::unknown;
    item.at("type").get_to(outcome.content_type);
    outcome.body = decode_body(item.at("body").get<std::string>(),
                               item.at("size").get<std::size_t>());
    return outcome;
}

} // namespace

result<claim_shard> claim_shard::parse(std::string_view text)
{
    claim_shard shard;
    try
    {
        const json document = json::parse(text);
        for (const auto& [id, item] : document.items())
        {
            claim_record claim;
            item.at("owner").get_to(claim.owner);
            item.at("call").get_to(claim.fingerprint);
            claim.deadline = to_wall_time(item.at("deadline").get<std::int64_t>());
            claim.expiry = to_wall_time(item.at("expiry").get<std::int64_t>());
            if (item.contains("outcome"))
            {
                claim.outcome = read_outcome(item["outcome"]);
            }
            shard.claims.emplace(id, std::move(claim));
        }
    }
    catch (const json::exception& failure)
    {
        return fail(error_code::internal, "read claims", "", failure.what());
    }
    return shard;
}

std::string claim_shard::to_text() const
{
    json document = json::object();
    for (const auto& [id, claim] : this->claims)
    {
        json& target = document[id];
        target = {{"owner", claim.owner},
                  {"call", claim.fingerprint},
                  {"deadline", to_milliseconds(claim.deadline)},
                  {"expiry", to_milliseconds(claim.expiry)}};
        if (claim.outcome)
        {
            target["outcome"] = to_json(*claim.outcome);
        }
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim_answer> claim_shard::find(const claim_request& request) const
{
    const auto found = this->claims.find(request.id);
    if (found == this->claims.end())
    {
        return std::nullopt;
    }
    const claim_record& existing = found->second;
    if (existing.owner == request.owner && !existing.outcome)
    {
        return claim_answer{claim_status::granted, {}};
    }
    if (existing.fingerprint != request.fingerprint)
    {
        return claim_answer{claim_status::mismatch, {}};
    }
    if (existing.outcome)
    {
        return claim_answer{claim_status::recorded, *existing.outcome};
    }
    const bool running = request.now < existing.deadline;
    return claim_answer{running ? claim_status::running : claim_status::outcome_unknown,
                        {}};
}

claim_answer claim_shard::claim(const claim_request& request)
{
    if (const auto answer = this->find(request))
    {
        return *answer;
    }
    this->claims.emplace(request.id,
                         claim_record{request.owner, request.fingerprint,
                                      request.deadline, request.expiry, std::nullopt});
    return {claim_status::granted, {}};
}

bool claim_shard::record(std::string_view id, std::string_view owner,
                         const call_outcome& outcome)
{
    const auto found = this->claims.find(id);
    if (found == this->claims.end() || found->second.owner != owner)
    {
        return false;
    }
    found->second.outcome = outcome;
    return true;
}

void claim_shard::release(std::string_view id, std::string_view owner)
{
    const auto found = this->claims.find(id);
    if (found != this->claims.end() && found->second.owner == owner &&
        !found->second.outcome)
    {
        this->claims.erase(found);
    }
}

void claim_shard::remove_expired(wall_time now)
{
    std::erase_if(this->claims,
                  [now](const auto& item) { return item.second.expiry <= now; });
}

std::string make_claim_id(std::string_view workspace, std::string_view route,
                          std::string_view key)
{
    return hash_parts({workspace, route, key});
}

std::string make_call_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body)
{
    return hash_parts({method, path, body});
}

std::size_t claim_shard_index(std::string_view id) noexcept
{
    return XXH3_64bits(id.data(), id.size()) % claim_shard_count;
}

} // namespace agateseam
