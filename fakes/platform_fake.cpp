#include <fakes/platform_fake.hpp>

#include <atomic>
#include <charconv>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

namespace agateseam::fakes
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t value_limit = 1'000'000; // bytes
constexpr milliseconds tick{5};

struct stored_object
{
    std::string value;
    std::uint64_t version = 0;
};

struct waiting_watch
{
    std::shared_ptr<http_exchange> exchange;
    std::string key;
    std::uint64_t after = 0;
    steady_clock::time_point until;
};

struct delayed_call
{
    std::shared_ptr<http_exchange> exchange;
    steady_clock::time_point due;
};

struct fault_settings
{
    std::string mode = "ok";
    milliseconds delay{0};
    double share = 1.0; ///< The share of calls that meet the fault.
};

std::uint64_t number(std::string_view text)
{
    std::uint64_t value = 0;
    if (!text.empty() && text.front() == '"')
    {
        text.remove_prefix(1);
    }
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::vector<http_header> version_header(std::uint64_t version)
{
    return {{"ETag", "\"" + std::to_string(version) + "\""}};
}

class platform_impl final : public platform_fake, public http_handler
{
  public:
    explicit platform_impl(const platform_options& chosen)
        : options(chosen)
    {
    }

    ~platform_impl() override
    {
        this->stopping = true;
        if (this->timer.joinable())
        {
            this->timer.join();
        }
        this->server.reset();
    }
    platform_impl(const platform_impl&) = delete;
    platform_impl& operator=(const platform_impl&) = delete;

    result<void> start()
    {
        http_server_options listen;
        listen.address = this->options.address;
        listen.port = this->options.port;
        auto created = http_server::create(listen, *this);
        if (!created)
        {
            return tl::unexpected<error>(created.error());
        }
        this->server = std::move(*created);
        this->timer = std::thread([this] { this->run_timer(); });
        return {};
    }

    [[nodiscard]] std::uint16_t port() const noexcept override
    {
        return this->server->port();
    }

    void handle(std::shared_ptr<http_exchange> exchange) override
    {
        if (exchange->request().path.starts_with("/admin/"))
        {
            this->administer(*exchange);
            return;
        }
        const std::scoped_lock hold(this->mutex);
        this->count(*exchange);
        if (!this->meets_fault())
        {
            this->serve(exchange, false);
        }
        else if (this->faults.mode == "down")
        {
            exchange->respond(503, {}, "the store is down");
        }
        else if (this->faults.mode == "slow")
        {
            this->delayed.push_back({exchange, steady_clock::now() + this->faults.delay});
        }
        else if (this->faults.mode == "lose_answers")
        {
            this->serve(exchange, true);
        }
        else
        {
            this->silent.push_back(exchange);
        }
    }

  private:
    bool meets_fault()
    {
        if (this->faults.mode == "ok")
        {
            return false;
        }
        std::uniform_real_distribution<double> draw(0, 1);
        return draw(this->random) < this->faults.share;
    }

    void count(const http_exchange& exchange)
    {
        const http_request& request = exchange.request();
        const bool watch = !request.query_argument("wait_ms").empty();
        const bool list = request.path == "/objects" || request.path == "/vms";
        ++this->calls[watch ? "watch" : list ? "list" : request.method];
    }

    /// Runs one call; with the answer lost, the effect stays and the connection is cut.
    void serve(const std::shared_ptr<http_exchange>& exchange, bool lose_answer)
    {
        const http_request& request = exchange->request();
        if (request.path == "/vms")
        {
            exchange->respond(200, {{"Content-Type", "application/json"}},
                              this->listed_vms());
        }
        else if (request.path == "/objects")
        {
            exchange->respond(200, {{"Content-Type", "application/json"}},
                              this->list(url_decode(request.query_argument("prefix"))));
        }
        else if (request.path.starts_with("/objects/"))
        {
            this->serve_object(exchange, request.path.substr(9), lose_answer);
        }
        else
        {
            exchange->respond(404, {}, "no such path");
        }
    }

    void serve_object(const std::shared_ptr<http_exchange>& exchange,
                      const std::string& key, bool lose_answer)
    {
        const http_request& request = exchange->request();
        if (request.method == "GET" && !request.query_argument("wait_ms").empty())
        {
            this->watch(exchange, key);
            return;
        }
        if (request.method == "GET")
        {
            this->get(*exchange, key);
            return;
        }
        const int status = this->change(*exchange, key);
        if (lose_answer)
        {
            exchange->abort();
            return;
        }
        exchange->respond(status, version_header(this->version_of(key)), "");
    }

    [[nodiscard]] std::uint64_t version_of(const std::string& key) const
    {
        const auto found = this->objects.find(key);
        return found == this->objects.end() ? 0 : found->second.version;
    }

    void get(http_exchange& exchange, const std::string& key)
    {
        const auto found = this->objects.find(key);
        if (found == this->objects.end())
        {
            exchange.respond(404, {}, "no such object");
            return;
        }
        exchange.respond(200, version_header(found->second.version), found->second.value);
    }

    int change(const http_exchange& exchange, const std::string& key)
    {
        const http_request& request = exchange.request();
        if (request.body.size() > value_limit)
        {
            return 413;
        }
        const std::uint64_t current = this->version_of(key);
        const std::string_view match = request.header("If-Match");
        const bool create = request.header("If-None-Match") == "*";
        if ((create && current != 0) || (!create && number(match) != current) ||
            (!create && match.empty()))
        {
            return 412;
        }
        if (request.method == "DELETE")
        {
            this->objects.erase(key);
            return 200;
        }
        this->objects[key] = {request.body, ++this->last_version};
        this->tell_watches(key);
        return 200;
    }

    void watch(const std::shared_ptr<http_exchange>& exchange, const std::string& key)
    {
        const std::uint64_t after = number(exchange->request().query_argument("after"));
        const auto wait =
            milliseconds(number(exchange->request().query_argument("wait_ms")));
        if (this->version_of(key) > after)
        {
            this->get(*exchange, key);
            return;
        }
        this->watches.push_back({exchange, key, after, steady_clock::now() + wait});
    }

    void tell_watches(const std::string& key)
    {
        std::erase_if(this->watches,
                      [&](const waiting_watch& watch)
                      {
                          const bool told =
                              watch.key == key && this->version_of(key) > watch.after;
                          if (told)
                          {
                              this->get(*watch.exchange, key);
                          }
                          return told;
                      });
    }

    [[nodiscard]] std::string list(const std::string& prefix) const
    {
        json items = json::array();
        for (auto at = this->objects.lower_bound(prefix);
             at != this->objects.end() && at->first.starts_with(prefix); ++at)
        {
            items.push_back({{"key", at->first},
                             {"value", at->second.value},
                             {"version", at->second.version}});
        }
        return items.dump();
    }

    [[nodiscard]] std::string listed_vms() const
    {
        const auto seen = steady_clock::now() - this->options.vm_list_lag;
        std::string listed = "[]";
        for (const auto& [when, text] : this->vm_lists)
        {
            if (when <= seen || listed == "[]")
            {
                listed = text;
            }
        }
        return listed;
    }

    void administer(http_exchange& exchange)
    {
        const std::scoped_lock hold(this->mutex);
        const http_request& request = exchange.request();
        if (request.path == "/admin/calls")
        {
            json counts = this->calls;
            counts["waiting_watches"] = this->watches.size();
            exchange.respond(200, {}, counts.dump());
            return;
        }
        const json body = json::parse(request.body, nullptr, false);
        if (request.path == "/admin/vms" && body.is_array())
        {
            this->vm_lists.emplace_back(steady_clock::now(), request.body);
            exchange.respond(200, {}, "");
        }
        else if (request.path == "/admin/faults" && body.is_object())
        {
            this->faults.mode = body.value("mode", "ok");
            this->faults.delay = milliseconds(body.value("delay_ms", 0));
            this->faults.share = body.value("share", 1.0);
            this->random.seed(body.value("seed", 1U));
            this->cut_watches();
            exchange.respond(200, {}, "");
        }
        else
        {
            exchange.respond(400, {}, "bad request");
        }
    }

    /// An outage also ends the watches that wait, and its end the calls that hang.
    void cut_watches()
    {
        if (this->faults.mode == "down")
        {
            for (const waiting_watch& watch : this->watches)
            {
                watch.exchange->abort();
            }
            this->watches.clear();
        }
        for (const auto& exchange : this->silent)
        {
            exchange->abort();
        }
        this->silent.clear();
    }

    void run_timer()
    {
        while (!this->stopping)
        {
            std::this_thread::sleep_for(tick);
            const std::scoped_lock hold(this->mutex);
            const auto now = steady_clock::now();
            std::erase_if(this->watches,
                          [&](const waiting_watch& watch)
                          {
                              if (watch.until <= now)
                              {
                                  watch.exchange->respond(204, {}, "");
                              }
                              return watch.until <= now;
                          });
            std::vector<delayed_call> due;
            std::erase_if(this->delayed,
                          [&](const delayed_call& call)
                          {
                              if (call.due <= now)
                              {
                                  due.push_back(call);
                              }
                              return call.due <= now;
                          });
            for (const delayed_call& call : due)
            {
                this->serve(call.exchange, false);
            }
        }
    }

    platform_options options;
    std::mutex mutex;
    std::map<std::string, stored_object> objects;
    std::uint64_t last_version = 0;
    std::vector<waiting_watch> watches;
    std::vector<delayed_call> delayed;
    std::vector<std::shared_ptr<http_exchange>> silent;
    std::vector<std::pair<steady_clock::time_point, std::string>> vm_lists;
    std::map<std::string, std::uint64_t> calls;
    fault_settings faults;
    pcg32 random{1};
    std::atomic<bool> stopping{false};
    std::thread timer;
    std::unique_ptr<http_server> server;
};

} // namespace

result<std::unique_ptr<platform_fake>>
platform_fake::create(const platform_options& options)
{
    auto fake = std::make_unique<platform_impl>(options);
    if (auto started = fake->start(); !started)
    {
        return tl::unexpected<error>(started.error());
    }
    return fake;
}

} // namespace agateseam::fakes
