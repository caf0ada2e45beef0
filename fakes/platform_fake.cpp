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

constexpr std::size_t max_value_bytes = 1'000'000;
/// Interval at which delayed calls and expired watches are looked for.
constexpr milliseconds timer_interval{5};

struct stored_object
{
    std::string value;
    std::uint64_t version = 0;
};

struct waiting_watch
{
    std::shared_ptr<http_exchange> exchange;
    std::string key;
    std::uint64_t after_version = 0;
    steady_clock::time_point expires_at;
};

/// A call that the fault "slow" holds back.
struct delayed_call
{
    std::shared_ptr<http_exchange> exchange;
    steady_clock::time_point due;
};

struct fault_settings
{
    std::string mode = "ok";
    milliseconds delay{0};
    double share = 1.0; ///< The fraction of calls that the fault affects.
};

/// Parses a number that may be enclosed in quotes, as in an ETag.
std::uint64_t parse_number(std::string_view text)
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
    explicit platform_impl(const platform_options& fake_options)
        : options(fake_options)
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
        http_server_options server_options;
        server_options.address = this->options.address;
        server_options.port = this->options.port;
        auto created_server = http_server::create(server_options, *this);
        if (!created_server)
        {
            return tl::unexpected<error>(created_server.error());
        }
        this->server = std::move(*created_server);
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
            this->serve_admin_call(*exchange);
            return;
        }
        const std::scoped_lock lock(this->mutex);
        this->count_call(*exchange);
        if (!this->draw_fault())
        {
            this->serve(exchange, false);
        }
        else if (this->faults.mode == "down")
        {
            exchange->respond(503, {}, "the store is down");
        }
        else if (this->faults.mode == "slow")
        {
            this->delayed_calls.push_back(
                {exchange, steady_clock::now() + this->faults.delay});
        }
        else if (this->faults.mode == "lose_answers")
        {
            this->serve(exchange, true);
        }
        else // "hang"
        {
            this->unanswered.push_back(exchange);
        }
    }

  private:
    bool draw_fault()
    {
        if (this->faults.mode == "ok")
        {
            return false;
        }
        std::uniform_real_distribution<double> distribution(0, 1);
        return distribution(this->random_generator) < this->faults.share;
    }

    void count_call(const http_exchange& exchange)
    {
        const http_request& request = exchange.request();
        const bool is_watch = !request.query_argument("wait_ms").empty();
        const bool is_list = request.path == "/objects" || request.path == "/vms";
        ++this->call_counts[is_watch ? "watch" : is_list ? "list" : request.method];
    }

    /// Serves one call. If `lose_answer` is set, a write takes effect, but its connection
    /// is closed without an answer.
    void serve(const std::shared_ptr<http_exchange>& exchange, bool lose_answer)
    {
        const http_request& request = exchange->request();
        if (request.path == "/vms")
        {
            exchange->respond(200, {{"Content-Type", "application/json"}},
                              this->visible_vms());
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
            this->start_watch(exchange, key);
            return;
        }
        if (request.method == "GET")
        {
            this->get(*exchange, key);
            return;
        }
        const int status = this->apply_write(*exchange, key);
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

    /// Applies a PUT or DELETE if its condition holds; a write without one is refused.
    /// \returns the status of the answer.
    int apply_write(const http_exchange& exchange, const std::string& key)
    {
        const http_request& request = exchange.request();
        if (request.body.size() > max_value_bytes)
        {
            return 413;
        }
        const std::uint64_t current = this->version_of(key);
        const std::string_view if_match = request.header("If-Match");
        const bool create = request.header("If-None-Match") == "*";
        if ((create && current != 0) || (!create && parse_number(if_match) != current) ||
            (!create && if_match.empty()))
        {
            return 412;
        }
        if (request.method == "DELETE")
        {
            this->objects.erase(key);
            return 200;
        }
        this->objects[key] = {request.body, ++this->last_version};
        this->notify_watches(key);
        return 200;
    }

    void start_watch(const std::shared_ptr<http_exchange>& exchange,
                     const std::string& key)
    {
        const std::uint64_t after_version =
            parse_number(exchange->request().query_argument("after"));
        const auto wait =
            milliseconds(parse_number(exchange->request().query_argument("wait_ms")));
        if (this->version_of(key) > after_version)
        {
            this->get(*exchange, key);
            return;
        }
        this->watches.push_back(
            {exchange, key, after_version, steady_clock::now() + wait});
    }

    void notify_watches(const std::string& key)
    {
        std::erase_if(this->watches,
                      [&](const waiting_watch& watch)
                      {
                          const bool matches =
                              watch.key == key &&
                              this->version_of(key) > watch.after_version;
                          if (matches)
                          {
                              this->get(*watch.exchange, key);
                          }
                          return matches;
                      });
    }

    [[nodiscard]] std::string list(const std::string& prefix) const
    {
        json items = json::array();
        for (auto item = this->objects.lower_bound(prefix);
             item != this->objects.end() && item->first.starts_with(prefix); ++item)
        {
            items.push_back({{"key", item->first},
                             {"value", item->second.value},
                             {"version", item->second.version}});
        }
        return items.dump();
    }

    /// Returns the list of VMs as it was one list lag ago, or the first list if that is
    /// newer.
    [[nodiscard]] std::string visible_vms() const
    {
        const auto visible_before = steady_clock::now() - this->options.vm_list_lag;
        std::string visible_list = "[]";
        for (const auto& [changed_at, text] : this->vm_lists)
        {
            if (changed_at <= visible_before || visible_list == "[]")
            {
                visible_list = text;
            }
        }
        return visible_list;
    }

    void serve_admin_call(http_exchange& exchange)
    {
        const std::scoped_lock lock(this->mutex);
        const http_request& request = exchange.request();
        if (request.path == "/admin/calls")
        {
            json counts = this->call_counts;
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
            this->random_generator.seed(body.value("seed", 1U));
            this->abort_affected_calls();
            exchange.respond(200, {}, "");
        }
        else
        {
            exchange.respond(400, {}, "bad request");
        }
    }

    /// Aborts the waiting watches if the store goes down. Every change of the faults also
    /// aborts the calls that were left without an answer.
    void abort_affected_calls()
    {
        if (this->faults.mode == "down")
        {
            for (const waiting_watch& watch : this->watches)
            {
                watch.exchange->abort();
            }
            this->watches.clear();
        }
        for (const auto& exchange : this->unanswered)
        {
            exchange->abort();
        }
        this->unanswered.clear();
    }

    void run_timer()
    {
        while (!this->stopping)
        {
            std::this_thread::sleep_for(timer_interval);
            const std::scoped_lock lock(this->mutex);
            const auto now = steady_clock::now();
            std::erase_if(this->watches,
                          [&](const waiting_watch& watch)
                          {
                              if (watch.expires_at <= now)
                              {
                                  watch.exchange->respond(204, {}, "");
                              }
                              return watch.expires_at <= now;
                          });
            std::vector<delayed_call> due;
            std::erase_if(this->delayed_calls,
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
    std::vector<delayed_call> delayed_calls;
    std::vector<std::shared_ptr<http_exchange>> unanswered; ///< By the fault "hang".
    /// The lists of VMs in the order in which they were set, each with the time.
    std::vector<std::pair<steady_clock::time_point, std::string>> vm_lists;
    std::map<std::string, std::uint64_t> call_counts;
    fault_settings faults;
    pcg32 random_generator{1};
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
