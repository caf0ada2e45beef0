/// Chooses the servers for prefill and decode by the load that one entry knows of: the
/// memory of decode servers and the queued prompts of prefill servers.
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
#include <agateseam/keyed_map.hpp>
#include <agateseam/memory_curve.hpp>
#include <agateseam/routing_table.hpp>

namespace agateseam
{

/// \brief The memory and requests that one or several entries have placed at a decode
/// server.
struct decode_claim
{
    memory_curve memory;
    std::uint32_t requests = 0;

    void add(const decode_claim& other) noexcept
    {
        this->memory.add(other.memory);
        this->requests += other.requests;
    }

    /// \brief Removes what `add` added before.
    void subtract(const decode_claim& other) noexcept
    {
        this->memory.subtract(other.memory);
        this->requests -= other.requests;
    }

    void scale(double factor) noexcept
    {
        this->memory.scale(factor);
        this->requests = static_cast<std::uint32_t>(this->requests * factor);
    }
};

/// Identifies one stream at a decode server.
using decode_stream_id = std::uint64_t;

/// \brief Chooses servers for the two stages of a model request.
///
/// Load pattern: the memory of a decode server holds some ten requests and is nearly full
/// at the usual load; bursts bring twice that, over all entries at once. The length of an
/// output can only be estimated. Reserving the maximum that a caller declares would leave
/// half of the memory empty. Reserving the prompt alone would preempt running streams,
/// and their prompts would have to be prefilled again. So a stream is placed where the
/// memory expected over the next seconds, with a margin for its variance, stays below the
/// server's capacity. What the other entries placed is known from digests, some hundred
/// milliseconds late. A server that refused a reservation gets no new stream for
/// `refusal_backoff`, or until a stream there ends. Prefill goes to the server with the
/// fewest prompt tokens under way; a server in another failure domain counts as if it had
/// some tokens more.
class engine_placement
{
  public:
    /// How long a server that refused a reservation gets no new stream: about the time in
    /// which one of some forty running requests ends.
    static constexpr std::chrono::milliseconds refusal_backoff{60};
    /// After a lost lottery a server is left out this long. By then the entry knows what
    /// the others have placed: it covers the interval between their digests and the
    /// network delay.
    static constexpr std::chrono::milliseconds lottery_backoff{25};
    /// How long past claims are kept to compare with memory reports, which are some
    /// hundred milliseconds old.
    static constexpr std::chrono::milliseconds claim_history_window{1'600};
    /// A memory report expires after this time; a new one is requested about every 0.7 s.
    static constexpr std::chrono::milliseconds report_lifetime{2'500};

    void set_properties(const engine_properties& new_properties)
    {
        this->properties = new_properties;
    }

    /// \brief Replaces the servers of the service by those that are listed now.
    void set_servers(std::span<const std::shared_ptr<const backend_server>> listed);

    /// \brief Chooses a decode server with room for a stream.
    ///
    /// Picks two servers with room at random and chooses the less loaded one. If the
    /// least loaded of all servers were chosen, entries that place streams at the same
    /// moment would all choose the same one. Where as urgent ones wait at other entries,
    /// all of them see a freed place at once. Each entry then draws a lot for each
    /// server, so that about one of them takes the place, and after a lost draw leaves
    /// the server out for `lottery_backoff`.
    ///
    /// \param domain the failure domain of this entry.
    /// \param draw a random number.
    /// \param allowed takes a server and returns whether it may be chosen.
    template <typename Predicate>
    [[nodiscard]] std::shared_ptr<const backend_server>
    choose_decode(const stream_memory& stream, std::string_view domain, time_point now,
                  std::uint64_t draw, Predicate allowed)
    {
        std::vector<std::pair<double, const server_state*>> candidates;
        std::uint64_t random_state = draw;
        memory_curve stream_curve;
        stream_curve.add(stream, this->stream_tokens_per_second);
        for (auto& [id, state] : this->server_states)
        {
            if (!this->accepts_decode(state, now) || !allowed(*state.server))
            {
                continue;
            }
            const auto load = this->load_with_stream(state, stream_curve, domain);
            if (load && this->wins_lottery(state, random_state, now))
            {
                candidates.emplace_back(*load, &state);
            }
        }
        if (candidates.empty())
        {
            return nullptr;
        }
        const auto& first = candidates[draw % candidates.size()];
        const auto& second = candidates[draw / candidates.size() % candidates.size()];
        return (first.first <= second.first ? first : second).second->server;
    }

    /// \brief Chooses the prefill server with the fewest prompt tokens under way, where a
    /// server in another failure domain counts as if it had some tokens more.
    ///
    /// One of several equal servers is chosen at random. An entry mostly has no prompt
    /// under way; if it then chose the first server of the list, all entries of a failure
    /// domain would send their prompts to the same server.
    ///
    /// \param domain the failure domain of this entry.
    /// \param draw a random number.
    /// \param allowed takes a server and returns whether it may be chosen.
    template <typename Predicate>
    [[nodiscard]] std::shared_ptr<const backend_server>
    choose_prefill(std::string_view domain, std::uint64_t draw, Predicate allowed) const
    {
        std::vector<const server_state*> least_loaded;
        double least_load = 0;
        for (const auto& [id, state] : this->server_states)
        {
            if (!state.listed || state.server->stage != engine_stage::prefill ||
                !allowed(*state.server))
            {
                continue;
            }
            const double load = this->prefill_load(state, domain);
            if (least_loaded.empty() || load < least_load)
            {
                least_loaded.clear();
                least_load = load;
            }
            if (load <= least_load)
            {
                least_loaded.push_back(&state);
            }
        }
        return least_loaded.empty() ? nullptr
                                    : least_loaded[draw % least_loaded.size()]->server;
    }

    /// \brief Adds a stream that this entry has placed at a decode server.
    [[nodiscard]] decode_stream_id begin_decode(const std::string& id,
                                                const stream_memory& stream);
    /// \brief Updates how many tokens a stream has generated.
    void record_progress(const std::string& id, decode_stream_id stream_id,
                         std::int64_t output_tokens);
    void end_decode(const std::string& id, decode_stream_id stream_id);
    void begin_prefill(const std::string& id, std::int64_t prompt_tokens);
    void end_prefill(const std::string& id, std::int64_t prompt_tokens);

    /// \brief Records that a server had no room for a reservation.
    void record_refusal(const std::string& id, time_point now);

    /// \brief Replaces the sum of what the other entries have placed, by server id.
    void set_others_claims(const keyed_map<decode_claim>& claims, time_point now);

    /// \brief Replaces what the other entries have placed at one server.
    /// \returns whether the server has fewer of their requests than before.
    bool set_others_claim(name_key server, const decode_claim& claim, time_point now);

    /// \brief Sets how many other entries compete for the next decode place.
    void set_competing_entries(std::uint32_t entries)
    {
        this->competing_entries = entries;
    }

    /// \brief Records the number of tokens that a server says it holds.
    ///
    /// The tokens above the highest claim within `claim_history_window` are orphans: they
    /// belong to streams of entries that are gone. An entry whose VM loses power closes
    /// no connection, so its streams run on.
    void record_memory_report(const std::string& id, std::int64_t used_tokens,
                              time_point now);
    /// \brief Returns the orphaned tokens by server id, for the servers that have
    /// reported to this entry within `report_lifetime`.
    [[nodiscard]] keyed_map<std::int64_t> own_orphans(time_point now) const;
    /// \brief Replaces the orphaned tokens that the other entries found, by server id.
    void set_others_orphans(const keyed_map<std::int64_t>& orphan_tokens);

    /// \brief Returns the listed servers that decode.
    [[nodiscard]] std::vector<std::shared_ptr<const backend_server>>
    decode_servers() const;

    /// \brief Returns what this entry has placed, by server id, for the other entries.
    [[nodiscard]] keyed_map<decode_claim> own_claims() const;

    /// \brief Returns how many requests all entries have placed at decode servers.
    [[nodiscard]] std::uint32_t running_requests() const;

    /// \brief Tells whether any listed server could ever hold `tokens`.
    [[nodiscard]] bool could_hold(std::int64_t tokens) const;

    /// \brief Returns `tokens` rounded up to whole memory blocks.
    [[nodiscard]] std::int64_t round_up_to_blocks(std::int64_t tokens) const;

    /// \brief Sets how many tokens one stream generates per second.
    void set_stream_rate(double tokens_per_second)
    {
        this->stream_tokens_per_second = tokens_per_second;
    }

  private:
    struct server_state
    {
        std::shared_ptr<const backend_server> server;
        bool listed = true;
        std::map<decode_stream_id, stream_memory> own_streams;
        mutable decode_claim own_claim;           ///< Sum of `own_streams`, if valid.
        mutable double own_claim_stream_rate = 0; ///< Of the sum; 0: not valid.
        decode_claim others_claim;
        /// Times and claimed tokens, newest last. Holds only the values that no later one
        /// reaches, so the first is the highest.
        std::deque<std::pair<time_point, double>> claim_history;
        std::int64_t own_orphan_tokens = 0; ///< By the newest report to this entry.
        time_point reported_at{};
        std::int64_t others_orphan_tokens = 0; ///< As the other entries found them.
        std::int64_t prefill_tokens = 0;       ///< Prompt tokens of this entry under way.
        time_point refusal_backoff_until{};
        time_point lottery_backoff_until{};
    };

    [[nodiscard]] bool accepts_decode(const server_state& state, time_point now) const;
    /// Draws a lot for a server and starts its lottery backoff when the lot is lost.
    /// \param random_state state of the random generator, advanced by each draw.
    [[nodiscard]] bool wins_lottery(server_state& state, std::uint64_t& random_state,
                                    time_point now) const;
    /// Returns the part of the server's memory that is expected to be used with the
    /// stream, increased if the server is in another failure domain; no value if the
    /// stream doesn't fit.
    [[nodiscard]] std::optional<double> load_with_stream(const server_state& state,
                                                         const memory_curve& stream,
                                                         std::string_view domain) const;
    [[nodiscard]] const decode_claim& own_claim(const server_state& state) const;
    bool set_others_claim(server_state& state, const decode_claim& claim, time_point now);
    void record_claim(server_state& state, time_point now) const;
    [[nodiscard]] double prefill_load(const server_state& state,
                                      std::string_view domain) const;

    engine_properties properties;
    double stream_tokens_per_second = 1'000; ///< Assumed until streams have ended.
    decode_stream_id next_stream_id = 1;
    std::uint32_t competing_entries = 0;
    std::unordered_map<std::string, server_state> server_states;
    keyed_map<server_state*> states_by_key; ///< Into `server_states`.
};

} // namespace agateseam
