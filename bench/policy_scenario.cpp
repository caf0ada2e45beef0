#include <bench/policy_scenario.hpp>

#include <algorithm>
#include <cmath>
#include <random>

#include <pcg_random.hpp>

#include <agateseam/placement.hpp>

namespace agateseam::bench
{

namespace
{

constexpr std::uint32_t block_tokens = 1'000;
/// Sessions per workspace that later prompts may extend.
constexpr std::size_t max_sessions = 64;
constexpr double burst_period = 10; // Seconds.
constexpr double burst_factor = 4;

scenario make_kalahari()
{
    scenario result;
    result.customer = "kalahari";
    result.workloads = {{"oshana", 4, 500, 6'000, 0, 0.2},
                        {"swakop", 3, 500, 6'000, 0, 0.2},
                        {"dune", 2, 500, 6'000, 0, 0.2},
                        {"crumb", 0.7, 500, 6'000, 0, 0.2},
                        {"kalahari", 0.3, 500, 6'000, 0, 0.2}};
    result.policy = load_first_policy();
    return result;
}

scenario make_kessler()
{
    scenario result;
    result.customer = "kessler";
    result.prefills = 7;
    result.decodes = 5;
    result.domains = 3;
    result.min_output_tokens = 60;
    result.max_output_tokens = 180;
    result.output_limit = 250;
    result.workloads = {{"caesium", 4, 1'000, 6'000, 2, 0.1},
                        {"maser", 3, 1'000, 6'000, 2, 0.1},
                        {"broadcast", 2, 1'000, 6'000, 2, 0.1},
                        {"lab", 0.7, 1'000, 6'000, 2, 0.1},
                        {"archive", 0.3, 1'000, 6'000, 2, 0.1}};
    result.policy = cache_first_policy();
    return result;
}

std::vector<scenario> make_variants(const scenario& base)
{
    const double middle = base.length / 2;
    std::vector<scenario> list;
    const auto add = [&](const char* name) -> scenario&
    {
        list.push_back(base);
        list.back().name = name;
        return list.back();
    };
    add("steady_peak");
    add("hot_tenant").hot_factor = 5;
    scenario& bursts = add("bursts");
    bursts.bursts = true;
    bursts.load = 0.7;
    scenario& reuse = add("long_prefix_reuse");
    for (workload& item : reuse.workloads)
    {
        item.preamble_blocks = 6;
        item.max_prompt_tokens = 4'000;
    }
    scenario& links = add("slow_links");
    links.link_rate = 80'000;
    links.crossing_rate = 40'000;
    scenario& lagged = add("lagged_load");
    lagged.heartbeat = 2;
    lagged.report_lag = 1;
    lagged.piggyback = false;
    add("engine_lost").decode_lost = middle;
    add("entry_lost").entry_lost = middle;
    add("entry_paused").entry_paused = middle;
    scenario& outage = add("store_outage");
    outage.list_frozen = true;
    outage.decode_lost = middle;
    return list;
}

/// Generates the requests of one trace.
class trace_generator
{
  public:
    trace_generator(const scenario& traced_plan, std::uint64_t seed)
        : plan(&traced_plan)
        , random(seed)
        , sessions(traced_plan.workloads.size())
    {
    }

    std::vector<traced_request> generate()
    {
        std::vector<traced_request> trace;
        double at = 0;
        while (true)
        {
            at += this->draw_gap(at);
            if (at >= this->plan->length)
            {
                return trace;
            }
            trace.push_back(this->draw_request(at, trace.size() + 1));
        }
    }

  private:
    double draw_uniform() { return std::generate_canonical<double, 32>(this->random); }

    double draw_gap(double at)
    {
        const double mean_output =
            0.5 * (this->plan->min_output_tokens + this->plan->max_output_tokens);
        double rate = this->plan->load * this->plan->decodes * this->plan->slots /
                      (mean_output * this->plan->token_gap);
        rate *= this->scaled_share() / this->unscaled_share();
        const bool burst = std::fmod(at, burst_period) >= burst_period - 1;
        if (this->plan->bursts && burst)
        {
            rate *= burst_factor;
        }
        return -std::log(1 - this->draw_uniform()) / rate;
    }

    [[nodiscard]] double share_of(std::size_t index) const
    {
        const double share = this->plan->workloads[index].share;
        return index == 0 ? share * this->plan->hot_factor : share;
    }

    [[nodiscard]] double scaled_share() const
    {
        double total = 0;
        for (std::size_t index = 0; index < this->plan->workloads.size(); ++index)
        {
            total += this->share_of(index);
        }
        return total;
    }

    [[nodiscard]] double unscaled_share() const
    {
        double total = 0;
        for (const workload& item : this->plan->workloads)
        {
            total += item.share;
        }
        return total;
    }

    std::uint32_t draw_between(std::uint32_t min_value, std::uint32_t max_value)
    {
        return min_value + this->random(max_value - min_value + 1);
    }

    traced_request draw_request(double at, std::uint64_t number)
    {
        traced_request request;
        request.number = number;
        request.arrival = at;
        request.entry = this->random(this->plan->entries);
        double pick = this->draw_uniform() * this->scaled_share();
        while (pick > this->share_of(request.workload) &&
               request.workload + 1 < this->plan->workloads.size())
        {
            pick -= this->share_of(request.workload);
            ++request.workload;
        }
        request.output_tokens = this->draw_between(this->plan->min_output_tokens,
                                                   this->plan->max_output_tokens);
        this->draw_prompt(request);
        return request;
    }

    void draw_prompt(traced_request& request)
    {
        const workload& source = this->plan->workloads[request.workload];
        auto& recent_requests = this->sessions[request.workload];
        const bool extends_earlier =
            !recent_requests.empty() && this->draw_uniform() < source.repeat_share;
        if (extends_earlier)
        {
            const auto& earlier = recent_requests[this->random(
                static_cast<std::uint32_t>(recent_requests.size()))];
            request.session = earlier.session;
            request.blocks = earlier.blocks;
            request.prompt_tokens =
                earlier.prompt_tokens + this->draw_between(50, block_tokens / 2);
        }
        else
        {
            request.session = request.number;
            request.prompt_tokens =
                source.preamble_blocks * block_tokens +
                this->draw_between(source.min_prompt_tokens, source.max_prompt_tokens);
            for (std::uint32_t block = 0; block < source.preamble_blocks; ++block)
            {
                // Equal in all prompts of a workload, different between workloads.
                request.blocks.push_back((request.workload + 1) * 1'000'003ULL + block);
            }
        }
        while ((request.blocks.size() + 1) * block_tokens <= request.prompt_tokens)
        {
            request.blocks.push_back((std::uint64_t{this->random()} << 32U) |
                                     this->random());
        }
        recent_requests.push_back(request);
        if (recent_requests.size() > max_sessions)
        {
            recent_requests.erase(recent_requests.begin());
        }
    }

    const scenario* plan;
    pcg32 random;
    std::vector<std::vector<traced_request>> sessions; ///< By workload.
};

} // namespace

std::vector<scenario> all_scenarios()
{
    std::vector<scenario> list = make_variants(make_kalahari());
    const std::vector<scenario> more = make_variants(make_kessler());
    list.insert(list.end(), more.begin(), more.end());
    return list;
}

std::vector<traced_request> make_trace(const scenario& plan, std::uint64_t seed)
{
    return trace_generator(plan, seed).generate();
}

} // namespace agateseam::bench
