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

constexpr std::size_t id_bytes = 16;

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

/// Hashes the parts with their lengths, so that no two lists of parts look alike.
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
    return to_hex(digest.data(), id_bytes);
}

/// A body may hold any bytes, a JSON text may not.
std::string encode_body(std::string_view body)
{
    std::string text(4 * ((body.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(body.data()),
                                     static_cast<int>(body.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string decode_body(std::string_view text, std::size_t size)
{
    std::string body(text.size() / 4 * 3 + 1, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(body.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
    body.resize(std::min(size, body.size()));
    return body;
}

std::int64_t to_number(wall_time time) noexcept
{
    return time.time_since_epoch().count();
}

wall_time to_time(std::int64_t number) noexcept
{
    return wall_time{std::chrono::milliseconds(number)};
}

json to_json(const call_outcome& outcome)
{
    return {{"status", outcome.status},
            {"run", to_string(outcome.run)},
            {"type", outcome.content_type},
            {"size", outcome.body.size()},
            {"body", encode_body(outcome.body)}};
}

call_outcome read_outcome(const json& source)
{
    call_outcome outcome;
    source.at("status").get_to(outcome.status);
    outcome.run = source.at("run").get<std::string>() == to_string(run_state::ran)
                      ? run_state::ran
                      : run_state::unknown;
    source.at("type").get_to(outcome.content_type);
    outcome.body = decode_body(source.at("body").get<std::string>(),
                               source.at("size").get<std::size_t>());
    return outcome;
}

} // namespace

result<claim_shard> claim_shard::parse(std::string_view text)
{
    claim_shard shard;
    try
    {
        const json document = json::parse(text);
        for (const auto& [id, source] : document.items())
        {
            record_type claim;
            source.at("owner").get_to(claim.owner);
            source.at("call").get_to(claim.fingerprint);
            claim.deadline = to_time(source.at("deadline").get<std::int64_t>());
            claim.expiry = to_time(source.at("expiry").get<std::int64_t>());
            if (source.contains("outcome"))
            {
                claim.outcome = read_outcome(source["outcome"]);
            }
            shard.claims.emplace(id, std::move(claim));
        }
    }
    catch (const json::exception& fault)
    {
        return fail(error_code::internal, "read claims", "", fault.what());
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
                  {"deadline", to_number(claim.deadline)},
                  {"expiry", to_number(claim.expiry)}};
        if (claim.outcome)
        {
            target["outcome"] = to_json(*claim.outcome);
        }
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim_answer> claim_shard::find(const claim_order& order) const
{
    const auto found = this->claims.find(order.id);
    if (found == this->claims.end())
    {
        return std::nullopt;
    }
    const record_type& held = found->second;
    if (held.owner == order.owner && !held.outcome)
    {
        return claim_answer{claim_verdict::granted, {}};
    }
    if (held.fingerprint != order.fingerprint)
    {
        return claim_answer{claim_verdict::mismatch, {}};
    }
    if (held.outcome)
    {
        return claim_answer{claim_verdict::recorded, *held.outcome};
    }
    const bool running = order.now < held.deadline;
    return claim_answer{running ? claim_verdict::running : claim_verdict::lost, {}};
}

claim_answer claim_shard::claim(const claim_order& order)
{
    if (const auto known = this->find(order))
    {
        return *known;
    }
    this->claims.emplace(order.id,
                         record_type{order.owner, order.fingerprint, order.deadline,
                                     order.expiry, std::nullopt});
    return {claim_verdict::granted, {}};
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

void claim_shard::expire(wall_time now)
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

std::size_t claim_shard_of(std::string_view id) noexcept
{
    return XXH3_64bits(id.data(), id.size()) % claim_shard_count;
}

} // namespace agateseam
