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

/// The contents of a generation request.
struct parsed_request
{
    std::string id;
    std::string model;
    std::string prompt;
    std::string seed;
    bool chat = false;
    bool stream = false;
    bool prefill_only = false;
    json remote_prefill; ///< kv_transfer_params of a remote prefill, or null.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint32_t next_token = 0;
    bool length_limited = false;
};

struct active_request
{
    parsed_request call;
    std::shared_ptr<http_exchange> exchange;
    steady_clock::time_point due; ///< When the next token or the prefill is due.
    std::uint32_t first_token = 0;
    std::string text;
};

struct stored_kv
{
    std::uint32_t tokens = 0;
    steady_clock::time_point expires_at;
};

struct call_usage
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
    steady_clock::time_point visible_at;
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

/// Erases like std::erase_if, but lets the predicate modify the item.
template <typename Map, typename Predicate>
void erase_if_mutable(Map& items, Predicate predicate)
{
    for (auto at = items.begin(); at != items.end();)
    {
        at = predicate(*at) ? items.erase(at) : std::next(at);
    }
}

class engine_impl final : public engine_fake, public http_handler
{
  public:
    explicit engine_impl(const engine_options& fake_options)
        : options(fake_options)
        , random_generator(fake_options.seed)
    {
    }

    ~engine_impl() override
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->stopping = true;
        }
        this->state_changed.notify_all();
        if (this->worker_thread.joinable())
        {
            this->worker_thread.join();
        }
        this->server.reset();
        this->client.reset();
    }
    engine_impl(const engine_impl&) = delete;
    engine_impl& operator=(const engine_impl&) = delete;

    result<void> start()
    {
        auto created_client = http_client::create({});
        if (!created_client)
        {
            return tl::unexpected<error>(created_client.error());
        }
        this->client = std::move(*created_client);
        http_server_options server_options;
        server_options.address = this->options.address;
        server_options.port = this->options.port;
        server_options.threads = 1;
        auto created_server = http_server::create(server_options, *this);
        if (!created_server)
        {
            return tl::unexpected<error>(created_server.error());
        }
        this->server = std::move(*created_server);
        this->worker_thread = std::thread([this] { this->run_worker(); });
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
            this->queue_kv_export(exchange, path.substr(4));
        }
        else if (path == "/abort" || path == "/orders" || path == "/admin/faults")
        {
            this->handle_control_request(*exchange);
        }
        else
        {
            this->handle_report_request(*exchange);
        }
    }

  private:
    [[nodiscard]] static parsed_request parse(const http_request& request,
                                              const json& body)
    {
        parsed_request call;
        call.id = request.header("x-request-id");
        call.chat = request.path == "/v1/chat/completions";
        call.model = body.value("model", "");
        call.prompt = prompt_of(body, call.chat);
        call.seed = prompt_seed(call.prompt);
        call.stream = body.value("stream", false);
        const json transfer = body.value("kv_transfer_params", json::object());
        call.prefill_only = transfer.value("do_remote_decode", false);
        call.remote_prefill =
            transfer.value("do_remote_prefill", false) ? transfer : json();
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
        parsed_request call = parse(exchange->request(), body);
        const std::string id = call.id;
        exchange->on_disconnect([this, id] { this->cancel(id); });
        if (call.prefill_only)
        {
            this->queue_prefill(exchange, std::move(call));
        }
        else if (call.remote_prefill.is_object())
        {
            this->start_kv_pull(exchange, std::move(call));
        }
        else
        {
            const std::scoped_lock lock(this->mutex);
            const auto due = this->reserve_prefill(call);
            this->start_decode(exchange, std::move(call), due);
        }
    }
    catch (const json::exception&)
    {
        exchange->respond(400, {}, R"({"error":{"message":"a member is mistyped"}})");
    }

    /// Schedules a prefill after those scheduled before and returns when it ends.
    steady_clock::time_point reserve_prefill(const parsed_request& call)
    {
        const std::uint32_t cached = this->update_prefix_cache(call);
        call_usage& usage_counts = this->usage_by_request[call.id];
        usage_counts.prompt_tokens += call.prompt_tokens;
        usage_counts.cached_tokens += cached;
        const double seconds = static_cast<double>(call.prompt_tokens - cached) /
                               this->options.prefill_tokens_per_second;
        const auto begin = std::max(steady_clock::now(), this->prefill_free_at);
        this->prefill_free_at =
            begin + std::chrono::duration_cast<steady_clock::duration>(
                        std::chrono::duration<double>(seconds));
        return this->prefill_free_at;
    }

    /// Looks up the blocks of the prompt, stores the missing ones and evicts the oldest.
    /// Returns the number of tokens in the cached prefix.
    std::uint32_t update_prefix_cache(const parsed_request& call)
    {
        const std::size_t block_bytes = std::size_t{this->options.block_tokens} * 4;
        std::uint32_t hits = 0;
        bool prefix_is_cached = true;
        for (std::size_t end = block_bytes; end <= call.prompt.size(); end += block_bytes)
        {
            const std::string block =
                prompt_seed(std::string_view(call.prompt).substr(0, end));
            const bool is_cached = this->cached_blocks.contains(block);
            hits += prefix_is_cached && is_cached ? 1 : 0;
            prefix_is_cached = prefix_is_cached && is_cached;
            if (!is_cached)
            {
                this->cached_blocks.insert(block);
                this->cached_block_order.push_back(block);
                this->publish("stored", block);
            }
        }
        while (this->cached_block_order.size() > this->options.cache_blocks)
        {
            this->publish("removed", this->cached_block_order.front());
            this->cached_blocks.erase(this->cached_block_order.front());
            this->cached_block_order.pop_front();
        }
        return hits * this->options.block_tokens;
    }

    void publish(std::string_view kind, const std::string& block)
    {
        const std::uint64_t sequence = ++this->event_sequence;
        std::uniform_real_distribution<double> distribution(0, 1);
        if (distribution(this->random_generator) >= this->options.event_loss)
        {
            this->events.push_back({sequence, std::string(kind), block,
                                    steady_clock::now() + this->options.event_lag});
        }
    }

    void queue_prefill(const std::shared_ptr<http_exchange>& exchange,
                       parsed_request call)
    {
        const std::scoped_lock lock(this->mutex);
        const auto due = this->reserve_prefill(call);
        const std::string id = call.id;
        ++this->usage_by_request[id].runs;
        this->prefills[id] = {std::move(call), exchange, due, 0, ""};
        this->state_changed.notify_all();
    }

    /// Fetches the KV cache from the engine that ran the prefill, then starts to decode.
    void start_kv_pull(const std::shared_ptr<http_exchange>& exchange,
                       parsed_request call)
    {
        http_call transfer_call;
        transfer_call.url = "http://" +
                            call.remote_prefill.value("remote_host", "127.0.0.1") + ":" +
                            std::to_string(call.remote_prefill.value("remote_port", 0)) +
                            "/kv/" + call.remote_prefill.value("remote_request_id", "");
        transfer_call.step = "kv transfer";
        auto shared_call = std::make_shared<parsed_request>(std::move(call));
        this->client->fetch_async(
            std::move(transfer_call),
            [this, exchange, shared_call](const result<http_reply>& reply)
            {
                if (!reply || reply->status != 200)
                {
                    exchange->respond(409, {},
                                      R"({"error":{"message":"the KV cache is gone",)"
                                      R"("code":"kv_expired"}})");
                    return;
                }
                const std::scoped_lock lock(this->mutex);
                this->start_decode(exchange, std::move(*shared_call),
                                   steady_clock::now());
            });
    }

    void queue_kv_export(const std::shared_ptr<http_exchange>& exchange,
                         const std::string& id)
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->stored_kv_caches.find(id);
        if (found == this->stored_kv_caches.end() ||
            found->second.expires_at < steady_clock::now())
        {
            exchange->respond(404, {}, "gone");
            return;
        }
        const double seconds = static_cast<double>(found->second.tokens) /
                               this->options.link_tokens_per_second;
        this->stored_kv_caches.erase(found);
        const auto begin = std::max(steady_clock::now(), this->link_free_at);
        this->link_free_at = begin + std::chrono::duration_cast<steady_clock::duration>(
                                         std::chrono::duration<double>(seconds));
        this->pending_exports.emplace_back(exchange, this->link_free_at);
        this->state_changed.notify_all();
    }

    /// Occupies a decode slot, or refuses the request if none is free. The caller must
    /// hold the mutex.
    void start_decode(const std::shared_ptr<http_exchange>& exchange, parsed_request call,
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
        ++this->usage_by_request[id].runs;
        if (call.stream)
        {
            exchange->begin_stream(200, {{"Content-Type", "text/event-stream"}});
        }
        const std::uint32_t first = call.next_token;
        this->decodes[id] = {std::move(call), exchange, due + this->options.step, first,
                             ""};
        this->state_changed.notify_all();
    }

    void cancel(const std::string& id)
    {
        const std::scoped_lock lock(this->mutex);
        for (auto* running : {&this->decodes, &this->prefills})
        {
            const auto found = running->find(id);
            if (found != running->end())
            {
                this->usage_by_request[id].cancelled = true;
                found->second.exchange->abort();
                running->erase(found);
            }
        }
    }

    void handle_control_request(http_exchange& exchange)
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
        const std::scoped_lock lock(this->mutex);
        if (exchange.request().path == "/admin/faults")
        {
            this->frozen = body.value("freeze", false);
            this->transfers_stalled = body.value("stall_transfers", false);
            this->state_changed.notify_all();
            exchange.respond(200, {}, "{}");
            return;
        }
        const std::uint64_t generation = body.value("generation", std::uint64_t{0});
        const bool is_stale = generation < this->newest_generation;
        if (is_stale && this->options.checks_generation)
        {
            exchange.respond(409, {}, R"({"error":{"message":"old generation"}})");
            return;
        }
        this->accepted_stale_orders += is_stale ? 1 : 0;
        this->newest_generation = std::max(this->newest_generation, generation);
        exchange.respond(200, {}, "{}");
    }

    void handle_report_request(http_exchange& exchange)
    {
        const std::scoped_lock lock(this->mutex);
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
            exchange.respond(200, {}, this->load_report());
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

    [[nodiscard]] std::string load_report()
    {
        const auto now = steady_clock::now();
        if (this->sampled_load_body.empty() ||
            now - this->load_sampled_at >= this->options.load_lag)
        {
            this->load_sampled_at = now;
            const json load{{"slots", this->options.slots},
                            {"running", this->decodes.size()},
                            {"waiting", this->prefills.size()},
                            {"kept_kv", this->stored_kv_caches.size()},
                            {"stale_orders", this->accepted_stale_orders}};
            this->sampled_load_body = load.dump();
        }
        return this->sampled_load_body;
    }

    [[nodiscard]] std::string billing_report() const
    {
        json report = json::object();
        for (const auto& [id, usage_counts] : this->usage_by_request)
        {
            report[id] = {{"prompt_tokens", usage_counts.prompt_tokens},
                          {"cached_tokens", usage_counts.cached_tokens},
                          {"output_tokens", usage_counts.output_tokens},
                          {"cancelled", usage_counts.cancelled},
                          {"runs", usage_counts.runs}};
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
            if (event.sequence > after && event.visible_at <= now)
            {
                list.push_back({{"sequence", event.sequence},
                                {"kind", event.kind},
                                {"block", event.block}});
            }
        }
        return list.dump();
    }

    void run_worker()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping)
        {
            const auto now = steady_clock::now();
            if (!this->frozen)
            {
                this->complete_due_prefills(now);
                this->complete_due_exports(now);
                this->produce_due_tokens(now);
            }
            std::erase_if(this->stored_kv_caches,
                          [&](const auto& item) { return item.second.expires_at < now; });
            this->state_changed.wait_until(lock, this->next_due(now));
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
        for (const auto& [exchange, due] : this->pending_exports)
        {
            next = std::min(next, this->transfers_stalled ? next : due);
        }
        return next;
    }

    void complete_due_prefills(steady_clock::time_point now)
    {
        erase_if_mutable(
            this->prefills,
            [&](auto& item)
            {
                active_request& state = item.second;
                if (state.due > now)
                {
                    return false;
                }
                this->stored_kv_caches[item.first] = {state.call.prompt_tokens,
                                                      now + this->options.kv_lifetime};
                const call_usage& usage_counts = this->usage_by_request[item.first];
                const json answer{{"id", item.first},
                                  {"kv_transfer_params",
                                   {{"do_remote_prefill", true},
                                    {"remote_host", this->options.address},
                                    {"remote_port", this->server->port()},
                                    {"remote_request_id", item.first}}},
                                  {"usage",
                                   {{"prompt_tokens", state.call.prompt_tokens},
                                    {"prompt_tokens_details",
                                     {{"cached_tokens", usage_counts.cached_tokens}}},
                                    {"completion_tokens", 0}}}};
                state.exchange->respond(200, {{"Content-Type", "application/json"}},
                                        answer.dump());
                return true;
            });
    }

    void complete_due_exports(steady_clock::time_point now)
    {
        std::erase_if(this->pending_exports,
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

    void produce_due_tokens(steady_clock::time_point now)
    {
        erase_if_mutable(this->decodes,
                         [&](auto& item)
                         {
                             active_request& state = item.second;
                             if (state.due > now)
                             {
                                 return false;
                             }
                             state.due += this->options.step;
                             return this->produce_token(state);
                         });
    }

    /// Produces one token and returns whether the request is complete.
    bool produce_token(active_request& state)
    {
        parsed_request& call = state.call;
        if (call.next_token < call.output_tokens)
        {
            const std::string token = token_text(call.seed, call.next_token);
            ++call.next_token;
            ++this->usage_by_request[call.id].output_tokens;
            state.text += token;
            if (call.stream)
            {
                state.exchange->write(this->stream_event(call, token, json()));
            }
        }
        if (call.next_token < call.output_tokens)
        {
            return false;
        }
        this->complete_answer(state);
        return true;
    }

    [[nodiscard]] static std::string
    stream_event(const parsed_request& call, const std::string& token, const json& finish)
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

    static void complete_answer(active_request& state)
    {
        const parsed_request& call = state.call;
        const json usage{{"prompt_tokens", call.prompt_tokens},
                         {"completion_tokens", call.output_tokens},
                         {"total_tokens", call.prompt_tokens + call.output_tokens}};
        const std::string finish = call.length_limited ? "length" : "stop";
        if (call.stream)
        {
            state.exchange->write(stream_event(call, "", finish));
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
    std::condition_variable state_changed;
    bool stopping = false;
    bool frozen = false;
    bool transfers_stalled = false;
    std::map<std::string, active_request> decodes;
    std::map<std::string, active_request> prefills;
    std::map<std::string, stored_kv> stored_kv_caches;
    std::vector<std::pair<std::shared_ptr<http_exchange>, steady_clock::time_point>>
        pending_exports;
    std::map<std::string, call_usage> usage_by_request;
    std::set<std::string> cached_blocks;
    std::deque<std::string> cached_block_order;
    std::deque<cache_event> events;
    std::uint64_t event_sequence = 0;
    std::uint64_t newest_generation = 0;
    std::uint64_t accepted_stale_orders = 0;
    steady_clock::time_point prefill_free_at{};
    steady_clock::time_point link_free_at{};
    steady_clock::time_point load_sampled_at{};
    std::string sampled_load_body;
    pcg32 random_generator;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> server;
    std::thread worker_thread;
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
