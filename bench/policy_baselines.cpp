#include <bench/policy_model.hpp>

#include <algorithm>
#include <memory>

namespace agateseam::bench
{

namespace
{

constexpr std::uint32_t most_attempts = 3;
constexpr double silence_limit = 2; // seconds until a lost engine is known

/// A request on its way through the engines.
struct plain_request
{
    const traced_request* trace = nullptr;
    request_outcome* outcome = nullptr;
    std::uint32_t entry = 0;
    std::uint32_t attempt = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    double computed = 0;
    double prefill_end = 0;
    std::uint32_t delivered = 0;
    double decode_begin = -1;
    bool open = true;
};

struct plain_decode
{
    std::uint32_t running = 0;
    std::deque<plain_request*> waiting;
    bool lost = false;
};

/// What an entry thinks of the engines, as of the newest reports.
struct plain_view
{
    std::vector<double> prefill; ///< Tokens waiting.
    std::vector<double> decode;  ///< Requests waiting or running.
    std::uint64_t turn = 0;
};

/// Engines with their own queues, and entries that only pick one.
class plain_run
{
  public:
    plain_run(const scenario& chosen, const std::vector<traced_request>& requests,
              bool takes_least)
        : plan(&chosen)
        , trace(&requests)
        , least(takes_least)
        , decodes(chosen.decodes)
        , views(chosen.entries)
    {
        for (std::uint32_t index = 0; index < chosen.prefills; ++index)
        {
            this->prefills.push_back({prefix_cache(chosen.cache_blocks)});
        }
        for (plain_view& view : this->views)
        {
            view.prefill.resize(chosen.prefills);
            view.decode.resize(chosen.decodes);
        }
        this->outcome.requests.resize(requests.size());
        this->live.resize(requests.size());
    }

    run_outcome run()
    {
        this->refresh();
        for (const traced_request& request : *this->trace)
        {
            this->events.at(request.at, [this, &request] { this->arrive(request); });
        }
        if (this->plan->decode_lost)
        {
            this->events.at(*this->plan->decode_lost, [this] { this->lose_decode(); });
        }
        this->events.run_until(this->plan->length + drain_time);
        for (plain_request& request : this->live)
        {
            this->outcome.wasted_tokens += request.computed;
        }
        return std::move(this->outcome);
    }

  private:
    void arrive(const traced_request& source)
    {
        plain_request& request = this->live[source.number - 1];
        request.trace = &source;
        request.outcome = &this->outcome.requests[source.number - 1];
        request.outcome->left_out = is_left_out(*this->plan, source);
        request.entry = live_entry(*this->plan, source);
        this->begin(request);
    }

    void begin(plain_request& request)
    {
        if (++request.attempt > most_attempts)
        {
            request.open = false;
            request.outcome->refusal = "attempts";
            return;
        }
        plain_view& view = this->views[request.entry];
        request.prefill = this->pick(view, view.prefill);
        view.prefill[request.prefill] += request.trace->prompt_tokens;
        prefill_model& engine = this->prefills[request.prefill];
        const std::size_t hits =
            engine.cache.touch(request.trace->blocks, [](std::uint64_t, bool) {});
        request.computed = std::max(0.0, request.trace->prompt_tokens -
                                             block_size * static_cast<double>(hits));
        this->outcome.prefill_tokens += request.computed;
        engine.free = std::max(this->events.now() + hop_delay, engine.free) +
                      request.computed / this->plan->prefill_rate;
        this->events.at(engine.free + hop_delay,
                        [this, &request] { this->decode(request); });
    }

    void decode(plain_request& request)
    {
        request.prefill_end = this->events.now() - hop_delay;
        plain_view& view = this->views[request.entry];
        request.decode = this->pick(view, view.decode);
        view.decode[request.decode] += 1;
        plain_decode& engine = this->decodes[request.decode];
        if (engine.lost)
        {
            this->events.after(1, [this, &request] { this->fail(request); });
            return;
        }
        engine.waiting.push_back(&request);
        this->fill(request.decode);
    }

    void fill(std::uint32_t index)
    {
        plain_decode& engine = this->decodes[index];
        while (!engine.lost && engine.running < this->plan->slots &&
               !engine.waiting.empty())
        {
            plain_request& request = *engine.waiting.front();
            engine.waiting.pop_front();
            if (this->events.now() + hop_delay > request.prefill_end + kv_lifetime)
            {
                this->fail(request);
                continue;
            }
            ++engine.running;
            this->start(request);
        }
    }

    void start(plain_request& request)
    {
        prefill_model& source = this->prefills[request.prefill];
        const bool crosses =
            request.prefill % this->plan->domains != request.decode % this->plan->domains;
        const double rate = crosses ? this->plan->crossing_rate : this->plan->link_rate;
        source.link_free = std::max(this->events.now(), source.link_free) +
                           request.trace->prompt_tokens / rate;
        request.decode_begin = source.link_free + this->plan->token_gap;
        request.computed = 0;
        if (request.outcome->first_token < 0)
        {
            request.outcome->first_token =
                request.decode_begin + 2 * hop_delay - request.trace->at;
        }
        const std::uint32_t rest = request.trace->output_tokens - request.delivered - 1;
        this->events.at(request.decode_begin + rest * this->plan->token_gap,
                        [this, &request, attempt = request.attempt]
                        { this->finish(request, attempt); });
    }

    void finish(plain_request& request, std::uint32_t attempt)
    {
        plain_decode& engine = this->decodes[request.decode];
        if (request.attempt != attempt || engine.lost)
        {
            return;
        }
        request.open = false;
        request.outcome->last_token =
            this->events.now() + 2 * hop_delay - request.trace->at;
        --engine.running;
        this->fill(request.decode);
    }

    void fail(plain_request& request)
    {
        this->outcome.wasted_tokens += request.computed;
        request.computed = 0;
        this->begin(request);
    }

    void lose_decode()
    {
        this->decodes[lost_engine].lost = true;
        for (plain_request& request : this->live)
        {
            const bool hit = request.trace != nullptr && request.open &&
                             request.decode_begin >= 0 && request.decode == lost_engine;
            if (hit)
            {
                const double since = this->events.now() - request.decode_begin;
                request.delivered =
                    std::min(request.trace->output_tokens - 1,
                             static_cast<std::uint32_t>(std::max(0.0, since) /
                                                        this->plan->token_gap));
                this->events.after(silence_limit,
                                   [this, &request] { this->fail(request); });
            }
        }
        for (plain_request* request : this->decodes[lost_engine].waiting)
        {
            this->events.after(silence_limit, [this, request] { this->fail(*request); });
        }
        this->decodes[lost_engine].waiting.clear();
    }

    std::uint32_t pick(plain_view& view, const std::vector<double>& loads)
    {
        const bool decodes_wanted = &loads == &view.decode;
        const bool known_lost =
            decodes_wanted && this->decodes[lost_engine].lost &&
            this->events.now() > *this->plan->decode_lost + silence_limit;
        std::uint32_t best = this->least ? 0 : view.turn++ % loads.size();
        if (!this->least)
        {
            const bool gone = known_lost && best == lost_engine;
            return gone ? view.turn++ % loads.size() : best;
        }
        for (std::uint32_t index = 0; index < loads.size(); ++index)
        {
            const bool gone = known_lost && best == lost_engine;
            best = gone || loads[index] < loads[best] ? index : best;
        }
        return best;
    }

    void refresh()
    {
        std::vector<double> prefill;
        for (const prefill_model& engine : this->prefills)
        {
            prefill.push_back(std::max(0.0, engine.free - this->events.now()) *
                              this->plan->prefill_rate);
        }
        std::vector<double> decode;
        for (const plain_decode& engine : this->decodes)
        {
            decode.push_back(engine.running + static_cast<double>(engine.waiting.size()));
        }
        this->events.after(this->plan->report_lag,
                           [this, prefill, decode]
                           {
                               for (plain_view& view : this->views)
                               {
                                   view.prefill = prefill;
                                   view.decode = decode;
                               }
                           });
        this->events.after(this->plan->heartbeat, [this] { this->refresh(); });
    }

    const scenario* plan;
    const std::vector<traced_request>* trace;
    bool least;
    event_queue events;
    std::vector<prefill_model> prefills;
    std::vector<plain_decode> decodes;
    std::vector<plain_view> views;
    std::vector<plain_request> live;
    run_outcome outcome;
};

} // namespace

run_outcome run_round_robin(const scenario& plan,
                            const std::vector<traced_request>& trace)
{
    return plain_run(plan, trace, false).run();
}

run_outcome run_least_load(const scenario& plan, const std::vector<traced_request>& trace)
{
    return plain_run(plan, trace, true).run();
}

} // namespace agateseam::bench
