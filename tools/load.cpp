/// The load tool: sends seeded requests to the entries and checks every answer against
/// what the stand-ins generate.
#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include <cxxopts.hpp>
#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <net/http_client.hpp>
#include <tools/load_request.hpp>

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;
using load::load_outcome;
using load::load_request;
using json = nlohmann::json;
using std::chrono::steady_clock;

/// What to send.
struct load_plan
{
    std::vector<std::string> entries;
    std::vector<std::pair<std::string, std::string>> keys; ///< Workspace and key.
    std::uint32_t requests = 200;
    std::uint32_t concurrency = 32;
    double stream_share = 0.5;
    double booking_share = 0.2;
    std::uint32_t prompt_bytes = 4'000; ///< Mean.
    std::uint32_t output_tokens = 40;
    std::uint64_t seed = 1;
    double rate = 0;         ///< Requests per second, sent on time; 0 waits for answers.
    double tenant_skew = 0;  ///< Zipf exponent over the workspaces; 0 shares evenly.
    double prefix_share = 0; ///< Prompts that begin with their workspace's preamble.
    std::uint32_t prefix_bytes = 8'000;
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index =
        static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

/// Draws requests and sends them, so many at a time.
class load_generator
{
  public:
    load_generator(const load_plan& chosen, http_client& target)
        : plan(&chosen)
        , client(&target)
        , random(chosen.seed)
    {
    }

    void run(load_outcome& outcome)
    {
        auto due = steady_clock::now();
        for (std::uint32_t index = 0; index < this->plan->requests; ++index)
        {
            if (this->plan->rate > 0)
            {
                std::this_thread::sleep_until(due);
                due += this->draw_gap();
            }
            this->begin(outcome);
            this->send(index, outcome);
        }
        std::unique_lock hold(outcome.mutex);
        outcome.changed.wait(hold, [&] { return outcome.under_way == 0; });
    }

  private:
    [[nodiscard]] double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    /// The time to the next request of a Poisson stream.
    [[nodiscard]] steady_clock::duration draw_gap()
    {
        const double seconds =
            std::exponential_distribution<double>(this->plan->rate)(this->random);
        return std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(seconds));
    }

    /// Counts a request; waits for room unless requests are sent by the clock.
    void begin(load_outcome& outcome)
    {
        std::unique_lock hold(outcome.mutex);
        if (this->plan->rate <= 0)
        {
            outcome.changed.wait(hold, [&]
                                 { return outcome.under_way < this->plan->concurrency; });
        }
        ++outcome.under_way;
        ++outcome.sent;
    }

    /// Chooses a workspace: in turn, or by Zipf's law.
    [[nodiscard]] std::size_t choose_tenant(std::uint32_t index)
    {
        const std::size_t count = this->plan->keys.size();
        if (this->plan->tenant_skew <= 0)
        {
            return index % count;
        }
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= count; ++rank)
        {
            weights.push_back(
                1 / std::pow(static_cast<double>(rank), this->plan->tenant_skew));
        }
        std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
        return choice(this->random);
    }

    void send(std::uint32_t index, load_outcome& outcome)
    {
        const std::string& entry =
            this->plan->entries[index % this->plan->entries.size()];
        const auto& [workspace, key] = this->plan->keys[this->choose_tenant(index)];
        {
            const std::scoped_lock hold(outcome.mutex);
            ++outcome.workspaces[workspace].sent;
        }
        http_call call;
        call.method = "POST";
        call.headers = {{"Authorization", "Bearer " + key},
                        {"Content-Type", "application/json"}};
        if (this->draw() < this->plan->booking_share)
        {
            const std::string booking = "booking-" + std::to_string(this->plan->seed) +
                                        "-" + std::to_string(index);
            call.url = entry + "/booking/weekly";
            call.headers.emplace_back("Idempotency-Key", booking);
            call.body = "{}";
            call.fresh_connection = true;
            this->client->start(std::move(call),
                                std::make_shared<load_request>(outcome, workspace, "", 0,
                                                               false, booking));
            return;
        }
        const bool stream = this->draw() < this->plan->stream_share;
        const std::string prompt = this->make_prompt(index, workspace);
        const json body{{"model", "drafter"},
                        {"prompt", prompt},
                        {"stream", stream},
                        {"max_tokens", this->plan->output_tokens}};
        call.url = entry + "/v1/completions";
        call.body = body.dump();
        this->client->start(std::move(call), std::make_shared<load_request>(
                                                 outcome, workspace, prompt,
                                                 this->plan->output_tokens, stream, ""));
    }

    [[nodiscard]] std::string make_prompt(std::uint32_t index,
                                          const std::string& workspace)
    {
        const auto size =
            static_cast<std::size_t>((0.5 + this->draw()) * this->plan->prompt_bytes);
        std::string prompt;
        if (this->plan->prefix_share > 0 && this->draw() < this->plan->prefix_share)
        {
            while (prompt.size() < this->plan->prefix_bytes)
            {
                prompt += "preamble of " + workspace + " ";
            }
        }
        prompt += "request " + std::to_string(this->plan->seed) + " " +
                  std::to_string(index) + " ";
        const std::size_t begun = prompt.size();
        while (prompt.size() - begun < size)
        {
            prompt += "subscriber record ";
        }
        return prompt;
    }

    const load_plan* plan;
    http_client* client;
    pcg64 random;
};

void print(load_outcome& outcome)
{
    json workspaces = json::object();
    for (const auto& [name, own] : outcome.workspaces)
    {
        workspaces[name] = {
            {"sent", own.sent}, {"whole", own.whole}, {"refused", own.refused}};
    }
    const json report{{"sent", outcome.sent},
                      {"whole", outcome.whole},
                      {"cut", outcome.cut},
                      {"crossed", outcome.crossed},
                      {"refused", outcome.refused},
                      {"output_tokens", outcome.output_tokens},
                      {"first_token_ms",
                       {{"p50", percentile(outcome.first_token_ms, 0.5)},
                        {"p95", percentile(outcome.first_token_ms, 0.95)}}},
                      {"token_gap_ms",
                       {{"p50", percentile(outcome.token_gap_ms, 0.5)},
                        {"p95", percentile(outcome.token_gap_ms, 0.95)}}},
                      {"workspaces", workspaces},
                      {"bookings", outcome.bookings}};
    std::cout << report.dump() << '\n';
}

int run(int argc, char** argv)
{
    cxxopts::Options options("load",
                             "Sends requests to the entries and checks the answers");
    options.add_options()("addresses", "JSON with entries and keys",
                          cxxopts::value<std::string>())(
        "requests", "how many", cxxopts::value<std::uint32_t>()->default_value("200"))(
        "concurrency", "at a time", cxxopts::value<std::uint32_t>()->default_value("32"))(
        "stream-share", "", cxxopts::value<double>()->default_value("0.5"))(
        "booking-share", "", cxxopts::value<double>()->default_value("0.2"))(
        "prompt-bytes", "mean", cxxopts::value<std::uint32_t>()->default_value("4000"))(
        "output-tokens", "limit", cxxopts::value<std::uint32_t>()->default_value("40"))(
        "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "rate", "requests per second, sent on time; 0 waits for answers",
        cxxopts::value<double>()->default_value("0"))(
        "tenant-skew", "Zipf exponent over the workspaces",
        cxxopts::value<double>()->default_value("0"))(
        "prefix-share", "prompts that begin with their workspace's preamble",
        cxxopts::value<double>()->default_value("0"))(
        "prefix-bytes", "of a preamble",
        cxxopts::value<std::uint32_t>()->default_value("8000"))("help", "");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("addresses") == 0)
    {
        std::cout << options.help();
        return arguments.count("help") > 0 ? 0 : 2;
    }
    std::ifstream file(arguments["addresses"].as<std::string>());
    const json addresses = json::parse(file);
    load_plan plan;
    plan.entries = addresses["entries"].get<std::vector<std::string>>();
    for (const auto& [workspace, key] : addresses["keys"].items())
    {
        plan.keys.emplace_back(workspace, key.get<std::string>());
    }
    plan.requests = arguments["requests"].as<std::uint32_t>();
    plan.concurrency = arguments["concurrency"].as<std::uint32_t>();
    plan.stream_share = arguments["stream-share"].as<double>();
    plan.booking_share = arguments["booking-share"].as<double>();
    plan.prompt_bytes = arguments["prompt-bytes"].as<std::uint32_t>();
    plan.output_tokens = arguments["output-tokens"].as<std::uint32_t>();
    plan.seed = arguments["seed"].as<std::uint64_t>();
    plan.rate = arguments["rate"].as<double>();
    plan.tenant_skew = arguments["tenant-skew"].as<double>();
    plan.prefix_share = arguments["prefix-share"].as<double>();
    plan.prefix_bytes = arguments["prefix-bytes"].as<std::uint32_t>();
    auto client = http_client::create({});
    if (!client)
    {
        std::cerr << client.error().to_string() << '\n';
        return 1;
    }
    load_outcome outcome;
    load_generator(plan, **client).run(outcome);
    print(outcome);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& fault)
    {
        std::cerr << fault.what() << '\n';
        return 2;
    }
}
