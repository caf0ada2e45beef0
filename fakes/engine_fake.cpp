#include <fakes/engine_fake.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <unordered_map>

#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <fakes/answer_text.hpp>
#include <net/http_client.hpp>

namespace agateseam::fakes
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint32_t default_output_limit = 64; // tokens

/// What a request's body asks for.
struct parsed_call
{
    std::string id;
    std::string model;
    std::string prompt;
    std::string seed;
    bool chat = false;
    bool stream = false;
    bool prefill_only = false;
    json remote; ///< kv_transfer_params of a remote prefill, or null.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint32_t next_token = 0;
    bool length_limited = false;
};

struct running_call
{
    parsed_call call;
    std::shared_ptr<http_exchange> exchange;
    steady_clock::time_point due; ///< The next token, or the prefill's end.
    std::uint32_t first_token = 0;
    std::string text;
};

struct kept_kv
{
    std::uint32_t tokens = 0;
    steady_clock::time_point until;
};

struct billed_call
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t output_tokens = 0;
    bool cancelled = false;
    std::uint32_t runs = 0;
};

struct cache_event
{
    std::uint64_t sequence = 0;
    std::string kind;
    std::string block;
    steady_clock::time_point visible;
};

std::string prompt_of(const json& body, bool chat)
{
    if (!chat)
    {
        return body.value("prompt", "");
    }
    std::string text;
    for (const json& message : body.value("messages", json::array()))
    {
        text += message.value("role", "") + ":" + message.value("content", "") + "\n";
    }
    return text;
}

/// Like std::erase_if, for a predicate that may change the item.
template <typename Map, typename Predicate>
void erase_where(Map& items, Predicate predicate)
{
    for (auto at = items.begin(); at != items.end();)
    {
        at = predicate(*at) ? items.erase(at) : std::next(at);
    }
}

class engine_impl final : public engine_fake, public http_handler
{
  public:
    explicit engine_impl(const engine_options& chosen)
        : options(chosen)
        , random(chosen.seed)
    {
    }

    ~engine_impl() override
    {
        {
            const std::scoped_lock hold(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_all();
        if (this->worker.joinable())
        {
            this->worker.join();
        }
        this->server.reset();
        this->client.reset();
    }
    engine_impl(const engine_impl&) = delete;
    engine_impl& operator=(const engine_impl&) = delete;

    result<void> start()
    {
        auto made = http_client::create({});
        if (!made)
        {
            return tl::unexpected<error>(made.error());
        }
        this->client = std::move(*made);
        http_server_options listen;
        listen.address = this->options.address;
        listen.port = this->options.port;
        listen.threads = 1;
        auto created = http_server::create(listen, *this);
        if (!created)
        {
            return tl::unexpected<error>(created.error());
        }
        this->server = std::move(*created);
        this->worker = std::thread([this] { this->run(); });
        return {};
    }

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->server->port();
    }

    void handle(std::shared_ptr<http_exchange> exchange) override
    {
        const std::string& path = exchange->request().path;
        if (path == "/v1/completions" || path == "/v1/chat/completions")
        {
            this->generate(exchange);
        }
        else if (path.starts_with("/kv/"))
        {
            this->export_kv(exchange, path.substr(4));
        }
        else if (path == "/abort" || path == "/orders" || path == "/admin/faults")
        {
            this->order(*exchange);
        }
        else
        {
            this->report(*exchange);
        }
    }

  private:
    [[nodiscard]] static parsed_call parse(const http_request& request, const json& body)
    {
        parsed_call call;
        call.id = request.header("x-request-id");
        call.chat = request.path == "/v1/chat/completions";
        call.model = body.value("model", "");
        call.prompt = prompt_of(body, call.chat);
        call.seed = prompt_seed(call.prompt);
        call.stream = body.value("stream", false);
        const json transfer = body.value("kv_transfer_params", json::object());
        call.prefill_only = transfer.value("do_remote_decode", false);
        call.remote = transfer.value("do_remote_prefill", false) ? transfer : json();
        call.prompt_tokens = count_tokens(call.prompt);
        const std::uint32_t limit = body.value("max_tokens", default_output_limit);
        call.output_tokens = std::min(limit, natural_length(call.seed));
        call.length_limited = limit < natural_length(call.seed);
        call.next_token = body.value("resume_from", 0U);
        return call;
    }

    void generate(const std::shared_ptr<http_exchange>& exchange)
    try
    {
        const json body = json::parse(exchange->request().body, nullptr, false);
        if (!body.is_object())
        {
            exchange->respond(400, {}, R"({"error":{"message":"malformed JSON"}})");
            return;
        }
        parsed_call call = parse(exchange->request(), body);
        const std::string id = call.id;
        exchange->on_disconnect([this, id] { this->cancel(id); });
        if (call.prefill_only)
        {
            this->queue_prefill(exchange, std::move(call));
        }
        else if (call.remote.is_object())
        {
            this->pull_kv(exchange, std::move(call));
        }
        else
        {
            const std::scoped_lock hold(this->mutex);
            const auto due = this->book_prefill(call);
            this->admit(exchange, std::move(call), due);
        }
    }
    catch (const json::exception&)
    {
        exchange->respond(400, {}, R"({"error":{"message":"a member is mistyped"}})");
    }

    /// Reserves the compute of a prefill after those that came before it.
    steady_clock::time_point book_prefill(const parsed_call& call)
    {
        const std::uint32_t cached = this->touch_cache(call);
        billed_call& bill = this->billing[call.id];
        bill.prompt_tokens += call.prompt_tokens;
        bill.cached_tokens += cached;
        const double seconds = static_cast<double>(call.prompt_tokens - cached) /
                               this->options.prefill_tokens_per_second;
        const auto begin = std::max(steady_clock::now(), this->prefill_free);
        this->prefill_free = begin + std::chrono::duration_cast<steady_clock::duration>(
                                         std::chrono::duration<double>(seconds));
        return this->prefill_free;
    }

    /// Looks up the prompt's blocks, stores those that are missing, evicts the oldest.
    std::uint32_t touch_cache(const parsed_call& call)
    {
        const std::size_t block_bytes = std::size_t{this->options.block_tokens} * 4;
        std::uint32_t hits = 0;
        bool prefix = true;
        for (std::size_t end = block_bytes; end <= call.prompt.size(); end += block_bytes)
        {
            const std::string block =
                prompt_seed(std::string_view(call.prompt).substr(0, end));
            const bool known = this->cache.contains(block);
            hits += prefix && known ? 1 : 0;
            prefix = prefix && known;
            if (!known)
            {
                this->cache.insert(block);
                this->cache_order.push_back(block);
                this->publish("stored", block);
            }
        }
        while (this->cache_order.size() > this->options.cache_blocks)
        {
            this->publish("removed", this->cache_order.front());
            this->cache.erase(this->cache_order.front());
            this->cache_order.pop_front();
        }
        return hits * this->options.block_tokens;
    }

    void publish(std::string_view kind, const std::string& block)
    {
        const std::uint64_t sequence = ++this->event_sequence;
        std::uniform_real_distribution<double> draw(0, 1);
        if (draw(this->random) >= this->options.event_loss)
        {
            this->events.push_back({sequence, std::string(kind), block,
                                    steady_clock::now() + this->options.event_lag});
        }
    }

    void queue_prefill(const std::shared_ptr<http_exchange>& exchange, parsed_call call)
    {
        const std::scoped_lock hold(this->mutex);
        const auto due = this->book_prefill(call);
        const std::string id = call.id;
        ++this->billing[id].runs;
        this->prefills[id] = {std::move(call), exchange, due, 0, ""};
        this->changed.notify_all();
    }

    /// Fetches the KV cache from the engine that made it, then begins to decode.
    void pull_kv(const std::shared_ptr<http_exchange>& exchange, parsed_call call)
    {
        http_call pull;
        pull.url = "http://" + call.remote.value("remote_host", "127.0.0.1") + ":" +
                   std::to_string(call.remote.value("remote_port", 0)) + "/kv/" +
                   call.remote.value("remote_request_id", "");
        pull.step = "kv transfer";
        auto shared = std::make_shared<parsed_call>(std::move(call));
        this->client->fetch_async(
            std::move(pull),
            [this, exchange, shared](const result<http_reply>& reply)
            {
                if (!reply || reply->status != 200)
                {
                    exchange->respond(409, {},
                                      R"({"error":{"message":"the KV cache is gone",)"
                                      R"("code":"kv_expired"}})");
                    return;
                }
                const std::scoped_lock hold(this->mutex);
                this->admit(exchange, std::move(*shared), steady_clock::now());
            });
    }

    void export_kv(const std::shared_ptr<http_exchange>& exchange, const std::string& id)
    {
        const std::scoped_lock hold(this->mutex);
        const auto found = this->kept.find(id);
        if (found == this->kept.end() || found->second.until < steady_clock::now())
        {
            exchange->respond(404, {}, "gone");
            return;
        }
        const double seconds = static_cast<double>(found->second.tokens) /
                               this->options.link_tokens_per_second;
        this->kept.erase(found);
        const auto begin = std::max(steady_clock::now(), this->link_free);
        this->link_free = begin + std::chrono::duration_cast<steady_clock::duration>(
                                      std::chrono::duration<double>(seconds));
        this->exports.emplace_back(exchange, this->link_free);
        this->changed.notify_all();
    }

    /// Takes a decode slot, or refuses when none is free; the mutex is held.
    void admit(const std::shared_ptr<http_exchange>& exchange, parsed_call call,
               steady_clock::time_point due)
    {
        if (this->decodes.size() >= this->options.slots)
        {
            exchange->respond(503, {}, R"({"error":{"message":"no free slot"}})");
            return;
        }
        if (exchange->disconnected())
        {
            return;
        }
        const std::string id = call.id;
        ++this->billing[id].runs;
        if (call.stream)
        {
            exchange->begin_stream(200, {{"Content-Type", "text/event-stream"}});
        }
        const std::uint32_t first = call.next_token;
        this->decodes[id] = {std::move(call), exchange, due + this->options.step, first,
                             ""};
        this->changed.notify_all();
    }

    void cancel(const std::string& id)
    {
        const std::scoped_lock hold(this->mutex);
        for (auto* running : {&this->decodes, &this->prefills})
        {
            const auto found = running->find(id);
            if (found != running->end())
            {
                this->billing[id].cancelled = true;
                found->second.exchange->abort();
                running->erase(found);
            }
        }
    }

    void order(http_exchange& exchange)
    {
        const json body = json::parse(exchange.request().body, nullptr, false);
        if (!body.is_object())
        {
            exchange.respond(400, {}, "malformed JSON");
            return;
        }
        if (exchange.request().path == "/abort")
        {
            this->cancel(body.value("request_id", ""));
            exchange.respond(200, {}, "{}");
            return;
        }
        const std::scoped_lock hold(this->mutex);
        if (exchange.request().path == "/admin/faults")
        {
            this->frozen = body.value("freeze", false);
            this->transfers_stalled = body.value("stall_transfers", false);
            this->changed.notify_all();
            exchange.respond(200, {}, "{}");
            return;
        }
        const std::uint64_t generation = body.value("generation", std::uint64_t{0});
        const bool old = generation < this->newest_generation;
        if (old && this->options.checks_generation)
        {
            exchange.respond(409, {}, R"({"error":{"message":"old generation"}})");
            return;
        }
        this->stale_orders += old ? 1 : 0;
        this->newest_generation = std::max(this->newest_generation, generation);
        exchange.respond(200, {}, "{}");
    }

    void report(http_exchange& exchange)
    {
        const std::scoped_lock hold(this->mutex);
        const std::string& path = exchange.request().path;
        if (path == "/requests")
        {
            json ids = json::array();
            for (const auto* running : {&this->decodes, &this->prefills})
            {
                for (const auto& [id, state] : *running)
                {
                    ids.push_back(id);
                }
            }
            exchange.respond(200, {}, ids.dump());
        }
        else if (path == "/load")
        {
            exchange.respond(200, {}, this->lagged_load());
        }
        else if (path == "/billing")
        {
            exchange.respond(200, {}, this->billing_report());
        }
        else if (path == "/cache_events")
        {
            exchange.respond(200, {}, this->event_report(exchange.request()));
        }
        else
        {
            exchange.respond(404, {}, "no such path");
        }
    }

    [[nodiscard]] std::string lagged_load()
    {
        const auto now = steady_clock::now();
        if (this->load_text.empty() || now - this->load_taken >= this->options.load_lag)
        {
            this->load_taken = now;
            const json load{{"slots", this->options.slots},
                            {"running", this->decodes.size()},
                            {"waiting", this->prefills.size()},
                            {"kept_kv", this->kept.size()},
                            {"stale_orders", this->stale_orders}};
            this->load_text = load.dump();
        }
        return this->load_text;
    }

    [[nodiscard]] std::string billing_report() const
    {
        json report = json::object();
        for (const auto& [id, bill] : this->billing)
        {
            report[id] = {{"prompt_tokens", bill.prompt_tokens},
                          {"cached_tokens", bill.cached_tokens},
                          {"output_tokens", bill.output_tokens},
                          {"cancelled", bill.cancelled},
                          {"runs", bill.runs}};
        }
        return report.dump();
    }

    [[nodiscard]] std::string event_report(const http_request& request) const
    {
        const std::string text = request.query_argument("after");
        const std::uint64_t after = text.empty() ? 0 : std::stoull(text);
        const auto now = steady_clock::now();
        json list = json::array();
        for (const cache_event& event : this->events)
        {
            if (event.sequence > after && event.visible <= now)
            {
                list.push_back({{"sequence", event.sequence},
                                {"kind", event.kind},
                                {"block", event.block}});
            }
        }
        return list.dump();
    }

    void run()
    {
        std::unique_lock hold(this->mutex);
        while (!this->stopping)
        {
            const auto now = steady_clock::now();
            if (!this->frozen)
            {
                this->end_prefills(now);
                this->end_exports(now);
                this->step_decodes(now);
            }
            std::erase_if(this->kept,
                          [&](const auto& item) { return item.second.until < now; });
            this->changed.wait_until(hold, this->next_due(now));
        }
    }

    [[nodiscard]] steady_clock::time_point next_due(steady_clock::time_point now) const
    {
        auto next = now + milliseconds(100);
        if (this->frozen)
        {
            return next;
        }
        for (const auto* running : {&this->decodes, &this->prefills})
        {
            for (const auto& [id, state] : *running)
            {
                next = std::min(next, state.due);
            }
        }
        for (const auto& [exchange, due] : this->exports)
        {
            next = std::min(next, this->transfers_stalled ? next : due);
        }
        return next;
    }

    void end_prefills(steady_clock::time_point now)
    {
        erase_where(this->prefills,
                    [&](auto& item)
                    {
                        running_call& state = item.second;
                        if (state.due > now)
                        {
                            return false;
                        }
                        this->kept[item.first] = {state.call.prompt_tokens,
                                                  now + this->options.kv_lifetime};
                        const billed_call& bill = this->billing[item.first];
                        const json answer{{"id", item.first},
                                          {"kv_transfer_params",
                                           {{"do_remote_prefill", true},
                                            {"remote_host", this->options.address},
                                            {"remote_port", this->server->port()},
                                            {"remote_request_id", item.first}}},
                                          {"usage",
                                           {{"prompt_tokens", state.call.prompt_tokens},
                                            {"prompt_tokens_details",
                                             {{"cached_tokens", bill.cached_tokens}}},
                                            {"completion_tokens", 0}}}};
                        state.exchange->respond(
                            200, {{"Content-Type", "application/json"}}, answer.dump());
                        return true;
                    });
    }

    void end_exports(steady_clock::time_point now)
    {
        std::erase_if(this->exports,
                      [&](const auto& item)
                      {
                          const bool due = item.second <= now && !this->transfers_stalled;
                          if (due)
                          {
                              item.first->respond(200, {}, "kv");
                          }
                          return due;
                      });
    }

    void step_decodes(steady_clock::time_point now)
    {
        erase_where(this->decodes,
                    [&](auto& item)
                    {
                        running_call& state = item.second;
                        if (state.due > now)
                        {
                            return false;
                        }
                        state.due += this->options.step;
                        return this->step_one(state);
                    });
    }

    /// Produces one token; returns whether the request has ended.
    bool step_one(running_call& state)
    {
        parsed_call& call = state.call;
        if (call.next_token < call.output_tokens)
        {
            const std::string token = token_text(call.seed, call.next_token);
            ++call.next_token;
            ++this->billing[call.id].output_tokens;
            state.text += token;
            if (call.stream)
            {
                state.exchange->write(this->chunk(call, token, json()));
            }
        }
        if (call.next_token < call.output_tokens)
        {
            return false;
        }
        this->end_answer(state);
        return true;
    }

    [[nodiscard]] static std::string chunk(const parsed_call& call,
                                           const std::string& token, const json& finish)
    {
        json choice{{"index", 0}, {"finish_reason", finish}};
        if (call.chat)
        {
            choice["delta"] = {{"content", token}};
        }
        else
        {
            choice["text"] = token;
        }
        const json body{
            {"id", call.id},
            {"object", call.chat ? "chat.completion.chunk" : "text_completion"},
            {"model", call.model},
            {"choices", json::array({choice})}};
        return "data: " + body.dump() + "\n\n";
    }

    static void end_answer(running_call& state)
    {
        const parsed_call& call = state.call;
        const json usage{{"prompt_tokens", call.prompt_tokens},
                         {"completion_tokens", call.output_tokens},
                         {"total_tokens", call.prompt_tokens + call.output_tokens}};
        const std::string finish = call.length_limited ? "length" : "stop";
        if (call.stream)
        {
            state.exchange->write(chunk(call, "", finish));
            const json last{{"id", call.id},
                            {"object", "chat.completion.chunk"},
                            {"model", call.model},
                            {"choices", json::array()},
                            {"usage", usage}};
            state.exchange->write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
            state.exchange->finish();
            return;
        }
        json choice{{"index", 0}, {"finish_reason", finish}};
        if (call.chat)
        {
            choice["message"] = {{"role", "assistant"}, {"content", state.text}};
        }
        else
        {
            choice["text"] = state.text;
        }
        const json body{{"id", call.id},
                        {"object", call.chat ? "chat.completion" : "text_completion"},
                        {"model", call.model},
                        {"choices", json::array({choice})},
                        {"usage", usage}};
        state.exchange->respond(200, {{"Content-Type", "application/json"}}, body.dump());
    }

    engine_options options;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool frozen = false;
    bool transfers_stalled = false;
    std::map<std::string, running_call> decodes;
    std::map<std::string, running_call> prefills;
    std::map<std::string, kept_kv> kept;
    std::vector<std::pair<std::shared_ptr<http_exchange>, steady_clock::time_point>>
        exports;
    std::map<std::string, billed_call> billing;
    std::set<std::string> cache;
    std::deque<std::string> cache_order;
    std::deque<cache_event> events;
    std::uint64_t event_sequence = 0;
    std::uint64_t newest_generation = 0;
    std::uint64_t stale_orders = 0;
    steady_clock::time_point prefill_free{};
    steady_clock::time_point link_free{};
    steady_clock::time_point load_taken{};
    std::string load_text;
    pcg32 random;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> server;
    std::thread worker;
};

} // namespace

result<std::unique_ptr<engine_fake>> engine_fake::create(const engine_options& options)
{
    auto fake = std::make_unique<engine_impl>(options);
    if (auto started = fake->start(); !started)
    {
        return tl::unexpected<error>(started.error());
    }
    return fake;
}

} // namespace agateseam::fakes
