#include <net/http_client.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <deque>
#include <future>
#include <mutex>
#include <strings.h>
#include <thread>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>

namespace agateseam
{

namespace
{

using std::chrono::steady_clock;

constexpr int poll_wait_ms = 250;
constexpr std::chrono::milliseconds silence_check_interval{250};
constexpr std::size_t handle_pool_limit = 256;
constexpr unsigned shard_bits = 8;

/// One call under way; lives on its thread.
struct call_state
{
    http_client::call_id id = 0;
    http_call call;
    std::shared_ptr<http_sink> sink;
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
    std::vector<http_header> answer_headers;
    bool head_told = false;
    bool refused_by_sink = false;
    bool has_body = false;
    steady_clock::time_point heard; ///< The last byte, or the call's begin.

    ~call_state() { curl_slist_free_all(this->headers); }
};

void tell_head(call_state& state)
{
    if (!state.head_told)
    {
        state.head_told = true;
        long status = 0;
        curl_easy_getinfo(state.handle, CURLINFO_RESPONSE_CODE, &status);
        state.sink->on_head(static_cast<int>(status), state.answer_headers);
    }
}

std::size_t on_header(char* data, std::size_t, std::size_t size, void* context)
{
    auto& state = *static_cast<call_state*>(context);
    std::string_view line(data, size);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
    {
        line.remove_suffix(1);
    }
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/"))
    {
        state.answer_headers.clear();
    }
    else if (colon != std::string_view::npos)
    {
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
        {
            value.remove_prefix(1);
        }
        state.answer_headers.emplace_back(line.substr(0, colon), value);
    }
    return size;
}

std::size_t on_body(char* data, std::size_t, std::size_t size, void* context)
{
    auto& state = *static_cast<call_state*>(context);
    state.heard = steady_clock::now();
    state.has_body = true;
    tell_head(state);
    if (!state.sink->on_data({data, size}))
    {
        state.refused_by_sink = true;
        return 0;
    }
    return size;
}

/// Tells whether an answer's end can be told from a cut: by its length or its chunks.
bool is_framed(const call_state& state)
{
    return std::any_of(state.answer_headers.begin(), state.answer_headers.end(),
                       [](const http_header& header)
                       {
                           const char* const name = header.first.c_str();
                           return ::strcasecmp(name, "Content-Length") == 0 ||
                                  ::strcasecmp(name, "Transfer-Encoding") == 0;
                       });
}

/// Tells what a failed transfer means for the work that was asked for.
error_code classify(CURLcode code, const call_state& state)
{
    if (state.refused_by_sink)
    {
        return error_code::cancelled;
    }
    switch (code)
    {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return error_code::unavailable;
    case CURLE_OPERATION_TIMEDOUT:
    {
        curl_off_t connected = 0;
        curl_easy_getinfo(state.handle, CURLINFO_PRETRANSFER_TIME_T, &connected);
        return connected == 0 ? error_code::unavailable : error_code::timeout;
    }
    default:
        return error_code::broken;
    }
}

/// One thread with its own multi handle and pooled connections.
class client_thread
{
  public:
    explicit client_thread(const http_client_options& chosen)
        : options(chosen)
        , multi(curl_multi_init())
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, chosen.connections);
        this->worker = std::thread([this] { this->run(); });
    }

    ~client_thread()
    {
        this->stop();
        for (CURL* handle : this->idle_handles)
        {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(this->multi);
    }

    client_thread(const client_thread&) = delete;
    client_thread& operator=(const client_thread&) = delete;

    /// Ends what is open; what its sinks start meanwhile is dropped.
    void stop()
    {
        this->stopping.store(true);
        curl_multi_wakeup(this->multi);
        if (this->worker.joinable())
        {
            this->worker.join();
        }
    }

    void start(std::unique_ptr<call_state> state)
    {
        {
            const std::scoped_lock hold(this->mutex);
            this->arrivals.push_back(std::move(state));
        }
        curl_multi_wakeup(this->multi);
    }

    void cancel(http_client::call_id id)
    {
        {
            const std::scoped_lock hold(this->mutex);
            this->cancels.push_back(id);
        }
        curl_multi_wakeup(this->multi);
    }

  private:
    void run()
    {
        while (!this->stopping.load())
        {
            this->take_orders();
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collect();
            this->end_silent();
            curl_multi_poll(this->multi, nullptr, 0, poll_wait_ms, nullptr);
        }
        this->take_orders();
        while (!this->active.empty())
        {
            this->end(this->active.begin()->first, this->cancelled_error(""));
        }
    }

    /// Ends calls that have not brought a byte for too long. libcurl's own limit looks at
    /// a mean over seconds and is late by as much.
    void end_silent()
    {
        const auto now = steady_clock::now();
        if (now < this->next_silence_check)
        {
            return;
        }
        this->next_silence_check = now + silence_check_interval;
        std::vector<http_client::call_id> silent;
        for (const auto& [id, state] : this->active)
        {
            const auto limit = state->call.silent_timeout;
            if (limit.count() > 0 && now - state->heard > limit)
            {
                silent.push_back(id);
            }
        }
        for (const http_client::call_id id : silent)
        {
            const http_call& call = this->active.find(id)->second->call;
            this->end(id, fail(error_code::timeout, call.step, call.url,
                               "the connection is silent"));
        }
    }

    void take_orders()
    {
        std::deque<std::unique_ptr<call_state>> fresh;
        std::deque<http_client::call_id> ended;
        {
            const std::scoped_lock hold(this->mutex);
            fresh.swap(this->arrivals);
            ended.swap(this->cancels);
        }
        for (auto& state : fresh)
        {
            this->begin(std::move(state));
        }
        for (const http_client::call_id id : ended)
        {
            const auto found = this->active.find(id);
            if (found != this->active.end())
            {
                this->end(id, this->cancelled_error(found->second->call.step));
            }
        }
    }

    [[nodiscard]] static result<void> cancelled_error(std::string_view step)
    {
        return fail(error_code::cancelled, step, "", "the call was ended early");
    }

    [[nodiscard]] CURL* take_handle()
    {
        if (this->idle_handles.empty())
        {
            return curl_easy_init();
        }
        CURL* handle = this->idle_handles.back();
        this->idle_handles.pop_back();
        return handle;
    }

    void begin(std::unique_ptr<call_state> state)
    {
        state->handle = this->take_handle();
        state->heard = steady_clock::now();
        this->configure(*state);
        curl_multi_add_handle(this->multi, state->handle);
        this->active.emplace(state->id, std::move(state));
    }

    void configure(call_state& state) const
    {
        CURL* handle = state.handle;
        const http_call& call = state.call;
        curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &state);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(call.connect_timeout.count()));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(call.total_timeout.count()));
        curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN,
                         static_cast<long>(this->options.connection_age.count()));
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                         static_cast<long>(this->options.connection_idle.count()));
        if (call.fresh_connection)
        {
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
        }
        this->configure_body(state);
    }

    static void configure_body(call_state& state)
    {
        const http_call& call = state.call;
        if (call.method != "GET" || !call.body.empty())
        {
            curl_easy_setopt(state.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(state.handle, CURLOPT_POSTFIELDS, call.body.data());
        }
        curl_easy_setopt(state.handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        state.headers = curl_slist_append(state.headers, "Expect:");
        for (const auto& [name, value] : call.headers)
        {
            const std::string line = value.empty() ? name + ";" : name + ": " + value;
            state.headers = curl_slist_append(state.headers, line.c_str());
        }
        curl_easy_setopt(state.handle, CURLOPT_HTTPHEADER, state.headers);
    }

    void collect()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            const CURLcode code = message->data.result;
            call_state* state = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &state);
            if (code == CURLE_OK && state->has_body && !is_framed(*state))
            {
                this->end(state->id,
                          fail(error_code::broken, state->call.step, state->call.url,
                               "the answer's end cannot be told from a cut"));
            }
            else if (code == CURLE_OK)
            {
                tell_head(*state);
                this->end(state->id, {});
            }
            else
            {
                this->end(state->id, fail(classify(code, *state), state->call.step,
                                          state->call.url, curl_easy_strerror(code)));
            }
        }
    }

    void end(http_client::call_id id, const result<void>& outcome)
    {
        const auto found = this->active.find(id);
        const std::unique_ptr<call_state> state = std::move(found->second);
        this->active.erase(found);
        curl_multi_remove_handle(this->multi, state->handle);
        curl_easy_reset(state->handle);
        if (this->idle_handles.size() < handle_pool_limit)
        {
            this->idle_handles.push_back(state->handle);
        }
        else
        {
            curl_easy_cleanup(state->handle);
        }
        state->sink->on_done(outcome);
    }

    http_client_options options;
    CURLM* multi;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::deque<std::unique_ptr<call_state>> arrivals;
    std::deque<http_client::call_id> cancels;
    std::unordered_map<http_client::call_id, std::unique_ptr<call_state>> active;
    std::vector<CURL*> idle_handles;
    steady_clock::time_point next_silence_check;
    std::thread worker;
};

class client_impl final : public http_client
{
  public:
    explicit client_impl(const http_client_options& options)
    {
        for (unsigned index = 0; index < std::max(1U, options.threads); ++index)
        {
            this->threads.push_back(std::make_unique<client_thread>(options));
        }
    }

    call_id start(http_call call, std::shared_ptr<http_sink> sink) override
    {
        const std::uint64_t number = this->next.fetch_add(1, std::memory_order_relaxed);
        const std::size_t shard = number % this->threads.size();
        auto state = std::make_unique<call_state>();
        state->id = (number << shard_bits) | shard;
        state->call = std::move(call);
        state->sink = std::move(sink);
        const call_id id = state->id;
        this->threads[shard]->start(std::move(state));
        return id;
    }

    void stop() override
    {
        for (const auto& thread : this->threads)
        {
            thread->stop();
        }
    }

    void cancel(call_id call) override
    {
        this->threads[call & ((1U << shard_bits) - 1)]->cancel(call);
    }

  private:
    std::atomic<std::uint64_t> next{1};
    std::vector<std::unique_ptr<client_thread>> threads;
};

/// Gathers a whole answer.
class collecting_sink final : public http_sink
{
  public:
    explicit collecting_sink(std::function<void(result<http_reply>)> target)
        : done(std::move(target))
    {
    }

    void on_head(int status, const std::vector<http_header>& headers) override
    {
        this->reply.status = status;
        this->reply.headers = headers;
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        this->reply.body.append(data);
        return true;
    }

    void on_done(const result<void>& outcome) override
    {
        if (outcome)
        {
            this->done(std::move(this->reply));
        }
        else
        {
            this->done(tl::unexpected<error>(outcome.error()));
        }
    }

  private:
    http_reply reply;
    std::function<void(result<http_reply>)> done;
};

} // namespace

std::string_view http_reply::header(std::string_view name) const noexcept
{
    for (const auto& [key, value] : this->headers)
    {
        if (key.size() == name.size() &&
            ::strncasecmp(key.data(), name.data(), name.size()) == 0)
        {
            return value;
        }
    }
    return {};
}

http_client::call_id
http_client::fetch_async(http_call call, std::function<void(result<http_reply>)> done)
{
    return this->start(std::move(call),
                       std::make_shared<collecting_sink>(std::move(done)));
}

result<http_reply> http_client::fetch(http_call call)
{
    auto promise = std::make_shared<std::promise<result<http_reply>>>();
    auto answer = promise->get_future();
    this->fetch_async(std::move(call), [promise](result<http_reply> reply)
                      { promise->set_value(std::move(reply)); });
    return answer.get();
}

result<std::unique_ptr<http_client>>
http_client::create(const http_client_options& options)
{
    static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (global != CURLE_OK || options.threads == 0 ||
        options.threads >= (1U << shard_bits))
    {
        return fail(error_code::invalid, "http client", "", "between 1 and 255 threads");
    }
    return std::make_unique<client_impl>(options);
}

} // namespace agateseam
