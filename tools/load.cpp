/// The load tool sends seeded requests to the entries and compares every answer with the
/// text that the stand-ins generate for its prompt.
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
using load::load_request;
using load::load_results;
using json = nlohmann::json;
using std::chrono::steady_clock;

/// The options that decide which requests are sent and when.
struct load_plan
{
    std::vector<std::string> entries;
    std::vector<std::pair<std::string, std::string>> keys; ///< Workspace and key.
    std::uint32_t requests = 200;
    std::uint32_t concurrency = 32;
    double stream_share = 0.5;  ///< Share of the model requests that are streamed.
    double booking_share = 0.2; ///< Share of the requests that are bookings.
    std::uint32_t prompt_bytes = 4'000; ///< The mean size of a prompt without preamble.
    std::uint32_t output_tokens = 40;   ///< The maximum per answer.
    std::uint64_t seed = 1;
    double rate = 0;           ///< Requests per second; 0 limits by concurrency instead.
    double workspace_skew = 0; ///< Zipf exponent over the workspaces; 0 for round robin.
    double prefix_share = 0;   ///< Share of prompts that begin with a preamble.
    std::uint32_t prefix_bytes = 8'000; ///< The minimum size of a preamble.
};

/// \param share 0.95 for the 95th percentile.
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

/// Generates random requests and sends them at the given rate, or with the given
/// concurrency.
class load_generator
{
  public:
    load_generator(const load_plan& settings, http_client& target)
        : plan(&settings)
        , client(&target)
        , random(settings.seed)
    {
    }

    void run(load_results& results)
    {
        auto due = steady_clock::now();
        for (std::uint32_t index = 0; index < this->plan->requests; ++index)
        {
            if (this->plan->rate > 0)
            {
                std::this_thread::sleep_until(due);
                due += this->draw_interval();
            }
            this->begin(results);
            this->send(index, results);
        }
        std::unique_lock lock(results.mutex);
        results.changed.wait(lock, [&] { return results.in_flight == 0; });
    }

  private:
    /// Returns a random number from [0, 1).
    [[nodiscard]] double draw_fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    /// The time to the next request of a Poisson stream.
    [[nodiscard]] steady_clock::duration draw_interval()
    {
        const double seconds =
            std::exponential_distribution<double>(this->plan->rate)(this->random);
        return std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(seconds));
    }

    /// Counts a request. Without a rate, first waits until fewer requests than the
    /// concurrency limit are in flight.
    void begin(load_results& results)
    {
        std::unique_lock lock(results.mutex);
        if (this->plan->rate <= 0)
        {
            results.changed.wait(lock, [&]
                                 { return results.in_flight < this->plan->concurrency; });
        }
        ++results.in_flight;
        ++results.sent;
    }

    /// Chooses a workspace: round robin, or by Zipf's law if a skew is given.
    [[nodiscard]] std::size_t choose_workspace(std::uint32_t index)
    {
        const std::size_t count = this->plan->keys.size();
        if (this->plan->workspace_skew <= 0)
        {
            return index % count;
        }
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= count; ++rank)
        {
            weights.push_back(
                1 / std::pow(static_cast<double>(rank), this->plan->workspace_skew));
        }
        std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
        return choice(this->random);
    }

    void send(std::uint32_t index, load_results& results)
    {
        const std::string& entry =
            this->plan->entries[index % this->plan->entries.size()];
        const auto& [workspace, key] = this->plan->keys[this->choose_workspace(index)];
        {
            const std::scoped_lock lock(results.mutex);
            ++results.workspaces[workspace].sent;
        }
        http_call call;
        call.method = "POST";
        call.headers = {{"Authorization", "Bearer " + key},
                        {"Content-Type", "application/json"}};
        if (this->draw_fraction() < this->plan->booking_share)
        {
            const std::string booking = "booking-" + std::to_string(this->plan->seed) +
                                        "-" + std::to_string(index);
            call.url = entry + "/booking/weekly";
            call.headers.emplace_back("Idempotency-Key", booking);
            call.body = "{}";
            call.fresh_connection = true;
            this->client->start(std::move(call),
                                std::make_shared<load_request>(results, workspace, "", 0,
                                                               false, booking));
            return;
        }
        const bool stream = this->draw_fraction() < this->plan->stream_share;
        const std::string prompt = this->make_prompt(index, workspace);
        const json body{{"model", "drafter"},
                        {"prompt", prompt},
                        {"stream", stream},
                        {"max_tokens", this->plan->output_tokens}};
        call.url = entry + "/v1/completions";
        call.body = body.dump();
        this->client->start(std::move(call), std::make_shared<load_request>(
                                                 results, workspace, prompt,
                                                 this->plan->output_tokens, stream, ""));
    }

    /// Makes a prompt that no other request has, of 0.5 to 1.5 times the mean size and in
    /// some cases after a preamble that the workspace's prompts share.
    [[nodiscard]] std::string make_prompt(std::uint32_t index,
                                          const std::string& workspace)
    {
        const auto size = static_cast<std::size_t>((0.5 + this->draw_fraction()) *
                                                   this->plan->prompt_bytes);
        std::string prompt;
        if (this->plan->prefix_share > 0 &&
            this->draw_fraction() < this->plan->prefix_share)
        {
            while (prompt.size() < this->plan->prefix_bytes)
            {
                prompt += "preamble of " + workspace + " ";
            }
        }
        prompt += "request " + std::to_string(this->plan->seed) + " " +
                  std::to_string(index) + " ";
        const std::size_t suffix_start = prompt.size();
        while (prompt.size() - suffix_start < size)
        {
            prompt += "subscriber record ";
        }
        return prompt;
    }

    const load_plan* plan;
    http_client* client;
    pcg64 random;
};

void print(load_results& results)
{
    json workspaces = json::object();
    for (const auto& [name, counts] : results.workspaces)
    {
        workspaces[name] = {{"sent", counts.sent},
                            {"whole", counts.completed},
                            {"refused", counts.refused}};
    }
    const json report{{"sent", results.sent},
                      {"whole", results.completed},
                      {"cut", results.truncated},
                      {"crossed", results.mismatched},
                      {"refused", results.refused},
                      {"output_tokens", results.output_tokens},
                      {"first_token_ms",
                       {{"p50", percentile(results.first_token_ms, 0.5)},
                        {"p95", percentile(results.first_token_ms, 0.95)}}},
                      {"token_gap_ms",
                       {{"p50", percentile(results.token_gap_ms, 0.5)},
                        {"p95", percentile(results.token_gap_ms, 0.95)}}},
                      {"workspaces", workspaces},
                      {"bookings", results.bookings}};
    std::cout << report.dump() << '\n';
}

int run(int argc, char** argv)
{
    cxxopts::Options options("load",
                             "Sends requests to the entries and checks the answers");
    options.add_options()("addresses", "JSON file with the entries and API keys",
                          cxxopts::value<std::string>())(
        "requests", "number of requests",
        cxxopts::value<std::uint32_t>()->default_value("200"))(
        "concurrency", "maximum number of requests in flight when no rate is given",
        cxxopts::value<std::uint32_t>()->default_value("32"))(
        "stream-share", "", cxxopts::value<double>()->default_value("0.5"))(
        "booking-share", "", cxxopts::value<double>()->default_value("0.2"))(
        "prompt-bytes", "mean", cxxopts::value<std::uint32_t>()->default_value("4000"))(
        "output-tokens", "limit", cxxopts::value<std::uint32_t>()->default_value("40"))(
        "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "rate", "requests per second; 0 limits by concurrency instead",
        cxxopts::value<double>()->default_value("0"))(
        "tenant-skew", "Zipf exponent over the workspaces; 0 for round robin",
        cxxopts::value<double>()->default_value("0"))(
        "prefix-share", "share of prompts that begin with their workspace's preamble",
        cxxopts::value<double>()->default_value("0"))(
        "prefix-bytes", "minimum size of a preamble",
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
    plan.workspace_skew = arguments["tenant-skew"].as<double>();
    plan.prefix_share = arguments["prefix-share"].as<double>();
    plan.prefix_bytes = arguments["prefix-bytes"].as<std::uint32_t>();
    auto client = http_client::create({});
    if (!client)
    {
        std::cerr << client.error().to_string() << '\n';
        return 1;
    }
    load_results results;
    load_generator(plan, **client).run(results);
    print(results);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
