/// Where prefill and decode go: the memory of decode servers and the backlog of prefill
/// servers as one entry knows them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <agateseam/backend_directory.hpp>
#include <agateseam/memory_curve.hpp>
#include <agateseam/routing_table.hpp>

namespace agateseam
{

/// \brief What entries have placed at a decode server; claims add up.
struct decode_claim
{
    memory_curve memory;
    std::uint32_t requests = 0;

    void add(const decode_claim& other) noexcept
    {
        this->memory.add(other.memory);
        this->requests += other.requests;
    }

    void scale(double factor) noexcept
    {
        this->memory.scale(factor);
        this->requests = static_cast<std::uint32_t>(this->requests * factor);
    }
};

/// Names one stream at a decode server.
using stream_ticket = std::uint64_t;

/// \brief Chooses servers for the two stages of a model request.
///
/// Load pattern: decode memory holds some ten requests a server and is nearly full at the
/// usual load; bursts bring twice that, over all entries at once. How long an output gets
/// is known only by a guess. Reserving the most that a caller declares would leave half
/// of the memory empty; reserving the prompt alone would preempt streams in the middle,
/// and what they had read would be read again. So a stream is placed where the memory
/// expected over the next seconds, with a margin for its variance, stays below the
/// server's. What the other entries placed comes by digests some hundred milliseconds
/// late; a server that refused a reservation is left alone for `refusal_pause`, or until
/// something there ends. Prefill goes where the least prompt tokens are under way, the
/// same failure domain first among equals.
class engine_board
{
  public:
    /// About the time in which one of some forty running requests ends.
    static constexpr std::chrono::milliseconds refusal_pause{60};
    /// After it an entry knows what the others have placed meanwhile: the time between
    /// their news and its way.
    static constexpr std::chrono::milliseconds lot_pause{25};
    /// Reports are some hundred milliseconds old; claims are kept a little longer.
    static constexpr std::chrono::milliseconds claims_kept{1'600};
    /// A report says nothing after this; it is asked for about every 0.7 s.
    static constexpr std::chrono::milliseconds report_life{2'500};

    void set_terms(const engine_properties& chosen) { this->terms = chosen; }

    /// \brief Takes the servers of the service as they are listed now.
    void set_servers(std::span<const std::shared_ptr<const backend_server>> listed);

    /// \brief Chooses a decode server with room for a stream.
    ///
    /// Of two servers at random the emptier one. Were it the emptiest of all, entries
    /// that place streams at the same moment would all choose the same. Where requests
    /// wait at other entries, too, they all see a place that becomes free at once; each
    /// entry then takes part by lot, so that about one of them does, and leaves a server
    /// alone for `lot_pause` after a blank. \param draw a random number. \param allowed
    /// judges a server by its id.
    template <typename Predicate>
    [[nodiscard]] std::shared_ptr<const backend_server>
    choose_decode(const stream_memory& stream, std::string_view domain, time_point now,
                  std::uint64_t draw, Predicate allowed)
    {
        std::vector<std::pair<double, const place*>> open;
        std::uint64_t lot = draw;
        for (auto& [id, known] : this->places)
        {
            if (!this->may_decode(known, now) || !allowed(id))
            {
                continue;
            }
            const auto load = this->load_with(known, stream, domain);
            if (load && this->takes_part(known, lot, now))
            {
                open.emplace_back(*load, &known);
            }
        }
        if (open.empty())
        {
            return nullptr;
        }
        const auto& first = open[draw % open.size()];
        const auto& second = open[draw / open.size() % open.size()];
        return (first.first <= second.first ? first : second).second->server;
    }

    /// \brief Chooses the prefill server with the least prompt tokens under way.
    ///
    /// Equals are chosen at random: mostly an entry has no prompt under way, and were the
    /// first of the list chosen then, all entries of a failure domain would send theirs
    /// to one server. \param draw a random number. \param allowed judges a server by its
    /// id.
    template <typename Predicate>
    [[nodiscard]] std::shared_ptr<const backend_server>
    choose_prefill(std::string_view domain, std::uint64_t draw, Predicate allowed) const
    {
        std::vector<const place*> least;
        double least_load = 0;
        for (const auto& [id, known] : this->places)
        {
            if (!known.listed || known.server->stage != engine_stage::prefill ||
                !allowed(id))
            {
                continue;
            }
            const double load = this->prefill_load(known, domain);
            if (least.empty() || load < least_load)
            {
                least.clear();
                least_load = load;
            }
            if (load <= least_load)
            {
                least.push_back(&known);
            }
        }
        return least.empty() ? nullptr : least[draw % least.size()]->server;
    }

    [[nodiscard]] stream_ticket begin_decode(const std::string& id,
                                             const stream_memory& stream);
    /// \brief Notes how many tokens a stream has made.
    void progress(const std::string& id, stream_ticket ticket, std::int64_t made);
    void end_decode(const std::string& id, stream_ticket ticket);
    void begin_prefill(const std::string& id, std::int64_t tokens);
    void end_prefill(const std::string& id, std::int64_t tokens);

    /// \brief Notes that a server had no room for a reservation.
    void refused(const std::string& id, time_point now);

    /// \brief Takes what the other entries have placed, all of them together.
    void set_others(const std::unordered_map<std::string, decode_claim>& placed,
                    time_point now);

    /// \brief Sets how many other entries have requests that wait for a place.
    void set_rivals(std::uint32_t entries) { this->rivals = entries; }

    /// \brief Takes a server's own word on the tokens that it holds.
    ///
    /// What is beyond all claims of the last moments belongs to streams of entries that
    /// are gone: a machine without power closes no connection, and its streams run on.
    void report(const std::string& id, std::int64_t used, time_point now);
    /// \brief Returns the tokens without a claim at servers that this entry asked lately.
    [[nodiscard]] std::unordered_map<std::string, std::int64_t>
    own_orphans(time_point now) const;
    /// \brief Takes what the other entries found without a claim.
    void set_orphans(const std::unordered_map<std::string, std::int64_t>& found);

    /// \brief Returns the listed servers that decode.
    [[nodiscard]] std::vector<std::shared_ptr<const backend_server>>
    decode_servers() const;

    /// \brief Returns what this entry has placed, for the other entries.
    [[nodiscard]] std::unordered_map<std::string, decode_claim> own_claims() const;

    /// \brief Tells whether any listed server could ever hold `tokens`.
    [[nodiscard]] bool could_hold(std::int64_t tokens) const;

    /// \brief Returns `tokens` in whole blocks of memory.
    [[nodiscard]] std::int64_t in_blocks(std::int64_t tokens) const;

    /// \brief Sets the tokens that one stream makes in a second.
    void set_pace(double tokens_per_second) { this->pace = tokens_per_second; }

  private:
    struct place
    {
        std::shared_ptr<const backend_server> server;
        bool listed = true;
        std::map<stream_ticket, stream_memory> own;
        decode_claim others;
        std::deque<std::pair<time_point, double>> claimed; ///< Tokens, newest last.
        std::int64_t own_orphans = 0;
        time_point reported_at{};
        std::int64_t others_orphans = 0;
        std::int64_t prefill_tokens = 0;
        time_point refused_until{};
        time_point blank_until{};
    };

    [[nodiscard]] bool may_decode(const place& at, time_point now) const;
    /// Draws a lot for a server; \param lot a random number, changed by each draw.
    [[nodiscard]] bool takes_part(place& at, std::uint64_t& lot, time_point now) const;
    /// Returns the expected part of its memory with the stream; none when it is full.
    [[nodiscard]] std::optional<double> load_with(const place& at,
                                                  const stream_memory& stream,
                                                  std::string_view domain) const;
    [[nodiscard]] decode_claim claim_of(const place& at) const;
    void remember_claims(place& at, time_point now) const;
    [[nodiscard]] double prefill_load(const place& at, std::string_view domain) const;

    engine_properties terms;
    double pace = 1'000; ///< Tokens a second; a guess until streams have ended.
    stream_ticket next_ticket = 1;
    std::uint32_t rivals = 0;
    std::unordered_map<std::string, place> places;
};

} // namespace agateseam
