#include <bench/policy_model.hpp>

#include <algorithm>
#include <memory>

namespace agateseam::bench
{

namespace
{

constexpr std::uint32_t max_attempts = 3;
constexpr double silence_timeout = 2; // Seconds until a lost engine is detected.

/// A request that the baseline entries and engines process.
struct baseline_request
{
    const traced_request* trace = nullptr;
    request_outcome* outcome = nullptr;
    std::uint32_t entry = 0;
    std::uint32_t attempt = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    double computed_tokens = 0;
    double prefill_ended_at = 0;
    std::uint32_t delivered_tokens = 0;
    double decode_began_at = -1;
    bool open = true;
};

struct baseline_decode_engine
{
    std::uint32_t running = 0;
    std::deque<baseline_request*> waiting;
    bool lost = false;
};

/// An entry's view of the load of the engines, as of the latest reports plus the
/// requests that it has sent since.
struct entry_view
{
    std::vector<double> prefill; ///< Prompt tokens waiting at each prefill engine.
    std::vector<double> decode;  ///< Requests waiting or running at each decode engine.
    std::uint64_t next_turn = 0;
};

/// Runs a trace over engines that queue their own requests, with entries that only pick
/// an engine.
class baseline_run
{
  public:
    baseline_run(const scenario& run_plan, const std::vector<traced_request>& requests,
                 bool picks_least_loaded)
        : plan(&run_plan)
        , trace(&requests)
        , pick_least_loaded(picks_least_loaded)
        , decodes(run_plan.decodes)
        , views(run_plan.entries)
    {
        for (std::uint32_t index = 0; index < run_plan.prefills; ++index)
        {
            this->prefills.push_back({prefix_cache(run_plan.cache_blocks)});
        }
        for (entry_view& view : this->views)
        {
            view.prefill.resize(run_plan.prefills);
            view.decode.resize(run_plan.decodes);
        }
        this->outcome.requests.resize(requests.size());
        this->live_requests.resize(requests.size());
    }

    run_outcome run()
    {
        this->refresh_views();
        for (const traced_request& request : *this->trace)
        {
            this->events.at(request.arrival, [this, &request] { this->arrive(request); });
        }
        if (this->plan->decode_lost)
        {
            this->events.at(*this->plan->decode_lost,
                            [this] { this->lose_decode_engine(); });
        }
        this->events.run_until(this->plan->length + drain_seconds);
        for (baseline_request& request : this->live_requests)
        {
            this->outcome.wasted_prefill_tokens += request.computed_tokens;
        }
        return std::move(this->outcome);
    }

  private:
    void arrive(const traced_request& source)
    {
        baseline_request& request = this->live_requests[source.number - 1];
        request.trace = &source;
        request.outcome = &this->outcome.requests[source.number - 1];
        request.outcome->entry_failed = is_hit_by_entry_failure(*this->plan, source);
        request.entry = serving_entry(*this->plan, source);
        this->begin(request);
    }

    /// Starts the next attempt of a request with its prefill, or gives the request up.
    void begin(baseline_request& request)
    {
        if (++request.attempt > max_attempts)
        {
            request.open = false;
            request.outcome->refusal = "attempts";
            return;
        }
        entry_view& view = this->views[request.entry];
        request.prefill = this->pick_engine(view, view.prefill);
        view.prefill[request.prefill] += request.trace->prompt_tokens;
        prefill_model& engine = this->prefills[request.prefill];
        const std::size_t cached_block_count = engine.cache.lookup_and_store(
            request.trace->blocks, [](std::uint64_t, bool) {});
        request.computed_tokens =
            std::max(0.0, request.trace->prompt_tokens -
                              block_size * static_cast<double>(cached_block_count));
        this->outcome.prefill_tokens += request.computed_tokens;
        engine.compute_free_at =
            std::max(this->events.now() + hop_delay_seconds, engine.compute_free_at) +
            request.computed_tokens / this->plan->prefill_rate;
        this->events.at(engine.compute_free_at + hop_delay_seconds,
                        [this, &request] { this->decode(request); });
    }

    void decode(baseline_request& request)
    {
        request.prefill_ended_at = this->events.now() - hop_delay_seconds;
        entry_view& view = this->views[request.entry];
        request.decode = this->pick_engine(view, view.decode);
        view.decode[request.decode] += 1;
        baseline_decode_engine& engine = this->decodes[request.decode];
        if (engine.lost)
        {
            this->events.after(1, [this, &request] { this->retry_attempt(request); });
            return;
        }
        engine.waiting.push_back(&request);
        this->start_waiting(request.decode);
    }

    void start_waiting(std::uint32_t index)
    {
        baseline_decode_engine& engine = this->decodes[index];
        while (!engine.lost && engine.running < this->plan->slots &&
               !engine.waiting.empty())
        {
            baseline_request& request = *engine.waiting.front();
            engine.waiting.pop_front();
            if (this->events.now() + hop_delay_seconds >
                request.prefill_ended_at + kv_lifetime_seconds)
            {
                this->retry_attempt(request);
                continue;
            }
            ++engine.running;
            this->start(request);
        }
    }

    void start(baseline_request& request)
    {
        prefill_model& source = this->prefills[request.prefill];
        const bool crosses =
            request.prefill % this->plan->domains != request.decode % this->plan->domains;
        const double rate = crosses ? this->plan->crossing_rate : this->plan->link_rate;
        source.link_free_at = std::max(this->events.now(), source.link_free_at) +
                              request.trace->prompt_tokens / rate;
        request.decode_began_at = source.link_free_at + this->plan->token_gap;
        request.computed_tokens = 0;
        if (request.outcome->first_token < 0)
        {
            request.outcome->first_token =
                request.decode_began_at + 2 * hop_delay_seconds - request.trace->arrival;
        }
        const std::uint32_t following_tokens =
            request.trace->output_tokens - request.delivered_tokens - 1;
        this->events.at(request.decode_began_at +
                            following_tokens * this->plan->token_gap,
                        [this, &request, attempt = request.attempt]
                        { this->finish(request, attempt); });
    }

    void finish(baseline_request& request, std::uint32_t attempt)
    {
        baseline_decode_engine& engine = this->decodes[request.decode];
        if (request.attempt != attempt || engine.lost)
        {
            return;
        }
        request.open = false;
        request.outcome->last_token =
            this->events.now() + 2 * hop_delay_seconds - request.trace->arrival;
        --engine.running;
        this->start_waiting(request.decode);
    }

    void retry_attempt(baseline_request& request)
    {
        this->outcome.wasted_prefill_tokens += request.computed_tokens;
        request.computed_tokens = 0;
        this->begin(request);
    }

    void lose_decode_engine()
    {
        this->decodes[lost_engine].lost = true;
        for (baseline_request& request : this->live_requests)
        {
            const bool affected = request.trace != nullptr && request.open &&
                                  request.decode_began_at >= 0 &&
                                  request.decode == lost_engine;
            if (affected)
            {
                const double decoding_seconds =
                    this->events.now() - request.decode_began_at;
                request.delivered_tokens =
                    std::min(request.trace->output_tokens - 1,
                             static_cast<std::uint32_t>(std::max(0.0, decoding_seconds) /
                                                        this->plan->token_gap));
                this->events.after(silence_timeout,
                                   [this, &request] { this->retry_attempt(request); });
            }
        }
        for (baseline_request* request : this->decodes[lost_engine].waiting)
        {
            this->events.after(silence_timeout,
                               [this, request] { this->retry_attempt(*request); });
        }
        this->decodes[lost_engine].waiting.clear();
    }

    std::uint32_t pick_engine(entry_view& view, const std::vector<double>& loads)
    {
        const bool picks_decode = &loads == &view.decode;
        const bool loss_detected =
            picks_decode && this->decodes[lost_engine].lost &&
            this->events.now() > *this->plan->decode_lost + silence_timeout;
        std::uint32_t best =
            this->pick_least_loaded ? 0 : view.next_turn++ % loads.size();
        if (!this->pick_least_loaded)
        {
            const bool is_known_lost = loss_detected && best == lost_engine;
            return is_known_lost ? view.next_turn++ % loads.size() : best;
        }
        for (std::uint32_t index = 0; index < loads.size(); ++index)
        {
            const bool is_known_lost = loss_detected && best == lost_engine;
            best = is_known_lost || loads[index] < loads[best] ? index : best;
        }
        return best;
    }

    void refresh_views()
    {
        std::vector<double> prefill;
        for (const prefill_model& engine : this->prefills)
        {
            prefill.push_back(std::max(0.0, engine.compute_free_at - this->events.now()) *
                              this->plan->prefill_rate);
        }
        std::vector<double> decode;
        for (const baseline_decode_engine& engine : this->decodes)
        {
            decode.push_back(engine.running + static_cast<double>(engine.waiting.size()));
        }
        this->events.after(this->plan->report_lag,
                           [this, prefill, decode]
                           {
                               for (entry_view& view : this->views)
                               {
                                   view.prefill = prefill;
                                   view.decode = decode;
                               }
                           });
        this->events.after(this->plan->heartbeat, [this] { this->refresh_views(); });
    }

    const scenario* plan;
    const std::vector<traced_request>* trace;
    bool pick_least_loaded;
    event_queue events;
    std::vector<prefill_model> prefills;
    std::vector<baseline_decode_engine> decodes;
    std::vector<entry_view> views;
    std::vector<baseline_request> live_requests;
    run_outcome outcome;
};

} // namespace

run_outcome run_round_robin(const scenario& plan,
                            const std::vector<traced_request>& trace)
{
    return baseline_run(plan, trace, false).run();
}

run_outcome run_least_load(const scenario& plan, const std::vector<traced_request>& trace)
{
    return baseline_run(plan, trace, true).run();
}

} // namespace agateseam::bench
