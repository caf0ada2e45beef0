/// The load tool: sends seeded requests to the entries and checks every answer against
/// what the stand-ins generate.
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>

#include <cxxopts.hpp>
#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <daemon/server_sent_events.hpp>
#include <fakes/answer_text.hpp>
#include <net/http_client.hpp>

INITIALIZE_EASYLOGGINGPP

namespace
{

using namespace agateseam;
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
};

/// What came of everything that was sent.
struct load_outcome
{
    std::mutex mutex;
    std::condition_variable changed;
    std::uint32_t under_way = 0;
    std::uint32_t sent = 0;
    std::uint32_t whole = 0;
    std::uint32_t cut = 0;
    std::uint32_t crossed = 0;
    std::uint64_t output_tokens = 0;
    std::map<std::string, std::uint32_t> refused; ///< By code and run state.
    std::vector<double> first_token_ms;
    std::vector<double> token_gap_ms;
    json bookings = json::array(); ///< Key, status and run state of each booking.
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

/// Follows one request to its end and judges the answer.
class load_request final : public http_sink
{
  public:
    load_request(load_outcome& shared, std::string prompt, std::uint32_t limit,
                 bool stream, std::string key)
        : outcome(&shared)
        , seed(fakes::prompt_seed(prompt))
        , output_limit(limit)
        , streamed(stream)
        , booking_key(std::move(key))
        , begun(steady_clock::now())
    {
    }

    void on_head(int code, const std::vector<http_header>& head) override
    {
        this->status = code;
        for (const auto& [name, value] : head)
        {
            if (name == "x-agateseam-run")
            {
                this->run = value;
            }
        }
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        if (!this->streamed || this->status != 200)
        {
            this->body.append(data);
            return true;
        }
        this->events.feed(data);
        while (const auto event = this->events.next())
        {
            this->take(*event);
        }
        return true;
    }

    void on_done(const result<void>& done) override
    {
        const std::scoped_lock hold(this->outcome->mutex);
        this->judge(done);
        --this->outcome->under_way;
        this->outcome->changed.notify_all();
    }

  private:
    void take(const server_sent_event& event)
    {
        if (event.data == stream_end)
        {
            this->ended = true;
            return;
        }
        const json chunk = json::parse(event.data, nullptr, false);
        if (!chunk.is_object() || chunk.value("choices", json::array()).empty())
        {
            return;
        }
        const std::string piece = chunk["choices"][0].value("text", "");
        if (piece.empty())
        {
            return;
        }
        const auto now = steady_clock::now();
        const double passed = std::chrono::duration<double, std::milli>(
                                  now - (this->text.empty() ? this->begun : this->last))
                                  .count();
        (this->text.empty() ? this->first_ms : this->gaps_ms).push_back(passed);
        this->last = now;
        this->text += piece;
    }

    void judge(const result<void>& done)
    {
        if (!this->booking_key.empty())
        {
            this->outcome->bookings.push_back({{"key", this->booking_key},
                                               {"status", done ? this->status : 0},
                                               {"run", this->run}});
        }
        if (done && this->status != 200)
        {
            const json refusal = json::parse(this->body, nullptr, false);
            const json fault = refusal.is_object()
                                   ? refusal.value("error", json::object())
                                   : json::object();
            ++this->outcome->refused[fault.value("code", std::to_string(this->status)) +
                                     "/" + fault.value("run", "?")];
            return;
        }
        if (!this->booking_key.empty())
        {
            this->outcome->whole += done ? 1 : 0;
            this->outcome->cut += done ? 0 : 1;
            return;
        }
        this->judge_text(done);
    }

    void judge_text(const result<void>& done)
    {
        if (!this->streamed)
        {
            const json answer = json::parse(this->body, nullptr, false);
            this->ended = answer.is_object() && answer.contains("choices");
            this->text = this->ended ? answer["choices"][0].value("text", "") : "";
        }
        std::string expected;
        const std::uint32_t length =
            std::min(this->output_limit, fakes::natural_length(this->seed));
        for (std::uint32_t index = 0; index < length; ++index)
        {
            expected += fakes::token_text(this->seed, index);
        }
        if (!done || !this->ended)
        {
            ++this->outcome->cut;
        }
        else if (this->text != expected)
        {
            ++this->outcome->crossed;
        }
        else
        {
            ++this->outcome->whole;
            this->outcome->output_tokens += length;
            append(this->outcome->first_token_ms, this->first_ms);
            append(this->outcome->token_gap_ms, this->gaps_ms);
        }
    }

    static void append(std::vector<double>& target, const std::vector<double>& source)
    {
        target.insert(target.end(), source.begin(), source.end());
    }

    load_outcome* outcome;
    std::string seed;
    std::uint32_t output_limit;
    bool streamed;
    std::string booking_key;
    steady_clock::time_point begun;
    steady_clock::time_point last;
    int status = 0;
    std::string run;
    event_splitter events;
    std::string body;
    std::string text;
    bool ended = false;
    std::vector<double> first_ms;
    std::vector<double> gaps_ms;
};

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
        for (std::uint32_t index = 0; index < this->plan->requests; ++index)
        {
            {
                std::unique_lock hold(outcome.mutex);
                outcome.changed.wait(
                    hold, [&] { return outcome.under_way < this->plan->concurrency; });
                ++outcome.under_way;
                ++outcome.sent;
            }
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

    void send(std::uint32_t index, load_outcome& outcome)
    {
        const std::string& entry =
            this->plan->entries[index % this->plan->entries.size()];
        const auto& [workspace, key] = this->plan->keys[index % this->plan->keys.size()];
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
            this->client->start(std::move(call), std::make_shared<load_request>(
                                                     outcome, "", 0, false, booking));
            return;
        }
        const bool stream = this->draw() < this->plan->stream_share;
        const std::string prompt = this->make_prompt(index);
        const json body{{"model", "drafter"},
                        {"prompt", prompt},
                        {"stream", stream},
                        {"max_tokens", this->plan->output_tokens}};
        call.url = entry + "/v1/completions";
        call.body = body.dump();
        this->client->start(std::move(call),
                            std::make_shared<load_request>(
                                outcome, prompt, this->plan->output_tokens, stream, ""));
    }

    [[nodiscard]] std::string make_prompt(std::uint32_t index)
    {
        const auto size =
            static_cast<std::size_t>((0.5 + this->draw()) * this->plan->prompt_bytes);
        std::string prompt = "request " + std::to_string(this->plan->seed) + " " +
                             std::to_string(index) + " ";
        while (prompt.size() < size)
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
        "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))("help", "");
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
