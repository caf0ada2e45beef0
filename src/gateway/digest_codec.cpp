#include <gateway/digest_codec.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

#include <nlohmann/json.hpp>

namespace agateseam
{

namespace
{

using json = nlohmann::json;

/// A digest is one array: the entry's name, then integers in a fixed order, where each
/// list begins with its length.
constexpr std::int64_t format_version = 7;
/// Amounts are sent as whole thousandths, which are shorter than floating point numbers.
/// Requests earn hundredths of a repeat, so this is precise enough.
constexpr double amount_scale = 1'000;

json to_integer(std::uint64_t value)
{
    return std::bit_cast<std::int64_t>(value);
}

void append_buckets(json& items, const keyed_map<bucket_report>& buckets)
{
    items.push_back(buckets.size());
    for (const auto& [key, report] : buckets)
    {
        items.push_back(to_integer(key.hash()));
        items.push_back(std::llround(report.spent * amount_scale));
        items.push_back(std::llround(report.level * amount_scale));
    }
}

void append_claims(json& items, const keyed_map<decode_claim>& claims)
{
    items.push_back(claims.size());
    for (const auto& [key, claim] : claims)
    {
        items.push_back(to_integer(key.hash()));
        items.push_back(claim.requests);
        for (std::size_t index = 0; index < memory_curve::seconds_ahead.size(); ++index)
        {
            items.push_back(std::llround(claim.memory.mean[index]));
            items.push_back(std::llround(std::sqrt(claim.memory.variance[index])));
        }
    }
}

void append_server_limits(json& items, const keyed_map<server_limit_report>& limits)
{
    items.push_back(limits.size());
    for (const auto& [key, report] : limits)
    {
        items.push_back(to_integer(key.hash()));
        items.push_back(std::llround(report.per_second * amount_scale));
        items.push_back(report.answer_age_ms);
        items.push_back(std::llround(report.spent * amount_scale));
        items.push_back(std::llround(report.level * amount_scale));
        items.push_back(report.copy_age_ms);
        items.push_back(std::llround(report.cold_per_second * amount_scale));
        items.push_back(report.cold_ms);
    }
}

void append_returns(json& items, const keyed_map<server_return_report>& returns)
{
    items.push_back(returns.size());
    for (const auto& [key, report] : returns)
    {
        items.push_back(to_integer(key.hash()));
        items.push_back(static_cast<int>(report.cause));
        items.push_back(report.number);
        items.push_back(report.age_ms);
        items.push_back(std::llround(report.capacity_per_second * amount_scale));
        items.push_back(report.peers_latency_ms);
        items.push_back(std::llround(report.start_share * amount_scale));
        items.push_back(std::llround(report.pace * amount_scale));
        items.push_back(report.answers.good);
        items.push_back(report.answers.slow);
        items.push_back(report.answers.bad);
    }
}

// Flags of a crash report.
constexpr std::int64_t flag_cleared = 1;
constexpr std::int64_t flag_had_answers = 2;
constexpr std::int64_t flag_without_event = 4;
constexpr std::int64_t flag_request = 8;
constexpr std::int64_t flag_whole_request = 16;

std::int64_t kind_flag(part_kind kind) noexcept
{
    switch (kind)
    {
    case part_kind::prompt_part:
        return 0;
    case part_kind::request:
        return flag_request;
    case part_kind::whole_request:
        break;
    }
    return flag_whole_request;
}

part_kind read_kind(std::int64_t flags) noexcept
{
    return (flags & flag_whole_request) != 0 ? part_kind::whole_request
           : (flags & flag_request) != 0     ? part_kind::request
                                             : part_kind::prompt_part;
}

void append_quarantine(json& items, const quarantine_digest& quarantine)
{
    items.push_back(quarantine.crashes.size());
    for (const crash_report& crash : quarantine.crashes)
    {
        items.push_back(to_integer(crash.part.hash()));
        items.push_back(to_integer(crash.server.hash()));
        items.push_back(crash.age_ms);
        items.push_back((crash.cleared ? flag_cleared : 0) |
                        (crash.had_answers ? flag_had_answers : 0) |
                        (crash.without_event ? flag_without_event : 0) |
                        kind_flag(crash.kind));
        items.push_back(crash.requests.size());
        for (const name_key request : crash.requests)
        {
            items.push_back(to_integer(request.hash()));
        }
    }
    items.push_back(quarantine.blocks.size());
    for (const part_block& block : quarantine.blocks)
    {
        items.push_back(block.number);
        items.push_back(block.lifted ? 1 : 0);
        items.push_back(block.parts.size());
        for (const name_key part : block.parts)
        {
            items.push_back(to_integer(part.hash()));
        }
    }
}

/// Receives the parser's events and collects the name and the integers, without a
/// document tree: an entry reads some hundred digests a second.
class item_collector final : public json::json_sax_t
{
  public:
    std::string name;
    std::vector<std::int64_t> integers;

    bool null() override { return false; }
    bool boolean(bool) override { return false; }
    bool number_integer(number_integer_t value) override
    {
        this->integers.push_back(value);
        return true;
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        this->integers.push_back(std::bit_cast<std::int64_t>(value));
        return true;
    }
    bool number_float(number_float_t, const string_t&) override { return false; }
    bool string(string_t& value) override
    {
        const bool is_first = this->name.empty() && this->integers.empty();
        this->name = std::move(value);
        return is_first;
    }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }
};

/// Takes integers in their order. After the end it returns 0 and is no longer `valid`.
class integer_reader
{
  public:
    explicit integer_reader(const std::vector<std::int64_t>& read_integers)
        : integers(&read_integers)
    {
    }

    std::int64_t next()
    {
        if (this->position >= this->integers->size())
        {
            this->past_end = true;
            return 0;
        }
        return (*this->integers)[this->position++];
    }
    std::uint64_t next_unsigned() { return std::bit_cast<std::uint64_t>(this->next()); }
    name_key next_key() { return name_key::from_hash(this->next_unsigned()); }
    double next_amount() { return static_cast<double>(this->next()) / amount_scale; }

    /// Returns the length of a list; 0 when the items can't be there.
    std::size_t next_length(std::size_t integers_per_item)
    {
        const std::uint64_t length = this->next_unsigned();
        if (length > (this->integers->size() - this->position) / integers_per_item)
        {
            this->past_end = true;
            return 0;
        }
        return length;
    }

    /// Tells whether all integers were read, and none beyond them.
    [[nodiscard]] bool valid() const
    {
        return !this->past_end && this->position == this->integers->size();
    }

  private:
    const std::vector<std::int64_t>* integers;
    std::size_t position = 0;
    bool past_end = false;
};

keyed_map<bucket_report> read_buckets(integer_reader& reader)
{
    keyed_map<bucket_report> buckets;
    const std::size_t length = reader.next_length(3);
    buckets.reserve(length);
    for (std::size_t index = 0; index < length; ++index)
    {
        const name_key key = reader.next_key();
        const double spent = reader.next_amount();
        buckets.insert_or_assign(key, bucket_report{spent, reader.next_amount()});
    }
    return buckets;
}

keyed_map<decode_claim> read_claims(integer_reader& reader)
{
    keyed_map<decode_claim> claims;
    const std::size_t length =
        reader.next_length(2 + 2 * memory_curve::seconds_ahead.size());
    claims.reserve(length);
    for (std::size_t index = 0; index < length; ++index)
    {
        decode_claim& claim = claims[reader.next_key()];
        claim.requests = static_cast<std::uint32_t>(reader.next_unsigned());
        for (std::size_t moment = 0; moment < memory_curve::seconds_ahead.size();
             ++moment)
        {
            claim.memory.mean[moment] = static_cast<double>(reader.next());
            const auto deviation = static_cast<double>(reader.next());
            claim.memory.variance[moment] = deviation * deviation;
        }
    }
    return claims;
}

keyed_map<std::int64_t> read_orphans(integer_reader& reader)
{
    keyed_map<std::int64_t> orphans;
    const std::size_t length = reader.next_length(2);
    for (std::size_t index = 0; index < length; ++index)
    {
        const name_key key = reader.next_key();
        orphans.insert_or_assign(key, reader.next());
    }
    return orphans;
}

keyed_map<server_limit_report> read_server_limits(integer_reader& reader)
{
    keyed_map<server_limit_report> limits;
    const std::size_t length = reader.next_length(8);
    for (std::size_t index = 0; index < length; ++index)
    {
        server_limit_report& report = limits[reader.next_key()];
        report.per_second = reader.next_amount();
        report.answer_age_ms = reader.next_unsigned();
        report.spent = reader.next_amount();
        report.level = reader.next_amount();
        report.copy_age_ms = reader.next_unsigned();
        report.cold_per_second = reader.next_amount();
        report.cold_ms = reader.next_unsigned();
    }
    return limits;
}

keyed_map<server_return_report> read_returns(integer_reader& reader)
{
    keyed_map<server_return_report> returns;
    const std::size_t length = reader.next_length(11);
    for (std::size_t index = 0; index < length; ++index)
    {
        server_return_report& report = returns[reader.next_key()];
        report.cause = static_cast<return_cause>(std::min(
            reader.next_unsigned(), static_cast<std::uint64_t>(return_cause::rested)));
        report.number = static_cast<std::uint32_t>(reader.next_unsigned());
        report.age_ms = reader.next_unsigned();
        report.capacity_per_second = reader.next_amount();
        report.peers_latency_ms = reader.next_unsigned();
        report.start_share = reader.next_amount();
        report.pace = reader.next_amount();
        report.answers.good = reader.next_unsigned();
        report.answers.slow = reader.next_unsigned();
        report.answers.bad = reader.next_unsigned();
    }
    return returns;
}

quarantine_digest read_quarantine(integer_reader& reader)
{
    quarantine_digest quarantine;
    quarantine.crashes.resize(reader.next_length(5));
    for (crash_report& crash : quarantine.crashes)
    {
        crash.part = reader.next_key();
        crash.server = reader.next_key();
        crash.age_ms = reader.next_unsigned();
        const std::int64_t flags = reader.next();
        crash.cleared = (flags & flag_cleared) != 0;
        crash.had_answers = (flags & flag_had_answers) != 0;
        crash.without_event = (flags & flag_without_event) != 0;
        crash.kind = read_kind(flags);
        crash.requests.resize(reader.next_length(1));
        for (name_key& request : crash.requests)
        {
            request = reader.next_key();
        }
    }
    quarantine.blocks.resize(reader.next_length(3));
    for (part_block& block : quarantine.blocks)
    {
        block.number = static_cast<std::uint32_t>(reader.next_unsigned());
        block.lifted = reader.next() != 0;
        block.parts.resize(reader.next_length(1));
        for (name_key& part : block.parts)
        {
            part = reader.next_key();
        }
    }
    return quarantine;
}

} // namespace

std::string encode_digest(const entry_digest& digest)
{
    json items =
        json::array({digest.entry, format_version, to_integer(digest.incarnation),
                     digest.sequence, digest.age_ms, digest.configuration_version,
                     digest.store_era, digest.known_entries, digest.waiting_requests,
                     digest.next_rank, digest.leaving ? 1 : 0,
                     digest.reaches_store ? 1 : 0, static_cast<int>(digest.scope)});
    append_buckets(items, digest.allowances);
    append_buckets(items, digest.repeats);
    append_claims(items, digest.claims);
    items.push_back(digest.orphan_tokens.size());
    for (const auto& [key, tokens] : digest.orphan_tokens)
    {
        items.push_back(to_integer(key.hash()));
        items.push_back(tokens);
    }
    append_server_limits(items, digest.server_limits);
    append_returns(items, digest.returns);
    append_quarantine(items, digest.quarantine);
    std::string bytes;
    json::to_msgpack(items, nlohmann::detail::output_adapter<char, std::string>(bytes));
    return bytes;
}

result<entry_digest> decode_digest(std::string_view bytes)
{
    item_collector collected;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &collected,
                         json::input_format_t::msgpack) ||
        collected.name.empty())
    {
        return fail(error_code::invalid, "read digest", "", "not an array of a digest");
    }
    integer_reader reader(collected.integers);
    if (reader.next() != format_version)
    {
        return fail(error_code::invalid, "read digest", collected.name,
                    "a digest of another version");
    }
    entry_digest digest;
    digest.entry = std::move(collected.name);
    digest.incarnation = reader.next_unsigned();
    digest.sequence = reader.next_unsigned();
    digest.age_ms = reader.next_unsigned();
    digest.configuration_version = reader.next_unsigned();
    digest.store_era = reader.next_unsigned();
    digest.known_entries = static_cast<std::uint32_t>(reader.next_unsigned());
    digest.waiting_requests = static_cast<std::uint32_t>(reader.next_unsigned());
    digest.next_rank = static_cast<waiting_rank>(reader.next_unsigned());
    digest.leaving = reader.next() != 0;
    digest.reaches_store = reader.next() != 0;
    const std::int64_t scope = reader.next();
    digest.scope = static_cast<digest_scope>(scope);
    digest.allowances = read_buckets(reader);
    digest.repeats = read_buckets(reader);
    digest.claims = read_claims(reader);
    digest.orphan_tokens = read_orphans(reader);
    digest.server_limits = read_server_limits(reader);
    digest.returns = read_returns(reader);
    digest.quarantine = read_quarantine(reader);
    if (!reader.valid() || scope < 0 || scope > static_cast<int>(digest_scope::delta))
    {
        return fail(error_code::invalid, "read digest", digest.entry,
                    "a list of another length than stated");
    }
    return digest;
}

} // namespace agateseam
