#include <net/http_client.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <mutex>
#include <strings.h>
#include <thread>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>

#include <agateseam/memory_budget.hpp>
#include <net/curl_call.hpp>
#include <net/machine_limits.hpp>

namespace agateseam
{

namespace
{

using std::chrono::steady_clock;

constexpr int poll_timeout_ms = 250;
constexpr std::chrono::milliseconds idle_check_interval{250};
constexpr std::size_t max_idle_handles = 256;
/// Pooled connections of one thread take at most this part of the descriptors.
constexpr std::size_t min_descriptors_per_connection = 16;
constexpr unsigned thread_index_bits = 8; ///< The lowest bits of a call's id.

/// One thread with its own multi handle and its own pooled connections.
class client_thread
{
  public:
    explicit client_thread(const http_client_options& initial_options)
        : options(initial_options)
        , multi(curl_multi_init())
    {
        const auto descriptors =
            static_cast<long>(descriptor_limit() / min_descriptors_per_connection);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                          std::min(initial_options.max_connections, descriptors));
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

    /// Ends the open calls. Calls that their sinks start meanwhile are dropped.
    void stop()
    {
        this->stopping.store(true);
        curl_multi_wakeup(this->multi);
        if (this->worker.joinable())
        {
            this->worker.join();
        }
    }

    void start(std::unique_ptr<curl_call> state)
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->started_calls.push_back(std::move(state));
        }
        curl_multi_wakeup(this->multi);
    }

    void cancel(http_client::call_id id)
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->cancelled_calls.push_back(id);
        }
        curl_multi_wakeup(this->multi);
    }

  private:
    void run()
    {
        while (!this->stopping.load())
        {
            this->process_requests();
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->finish_transfers();
            this->end_idle();
            curl_multi_poll(this->multi, nullptr, 0, poll_timeout_ms, nullptr);
        }
        this->process_requests();
        while (!this->active.empty())
        {
            this->end(this->active.begin()->first, this->cancelled_error(""));
        }
    }

    /// Ends calls that received no byte for too long, unless their sinks wait on.
    /// libcurl's own limit averages over seconds, so it acts seconds too late.
    void end_idle()
    {
        const auto now = steady_clock::now();
        if (now < this->next_idle_check)
        {
            return;
        }
        this->next_idle_check = now + idle_check_interval;
        std::vector<http_client::call_id> idle;
        for (const auto& [id, state] : this->active)
        {
            const auto limit = state->call.idle_timeout;
            if (limit.count() > 0 && now - state->last_activity > limit)
            {
                idle.push_back(id);
            }
        }
        for (const http_client::call_id id : idle)
        {
            curl_call& state = *this->active.find(id)->second;
            const http_call& call = state.call;
            if (state.sink->on_silence())
            {
                state.last_activity = now;
                continue;
            }
            this->end(id, fail(error_code::timeout, call.step, call.url,
                               "the connection is silent"));
        }
    }

    void process_requests()
    {
        std::deque<std::unique_ptr<curl_call>> started;
        std::deque<http_client::call_id> cancelled;
        {
            const std::scoped_lock lock(this->mutex);
            started.swap(this->started_calls);
            cancelled.swap(this->cancelled_calls);
        }
        for (auto& state : started)
        {
            this->begin(std::move(state));
        }
        for (const http_client::call_id id : cancelled)
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

    void begin(std::unique_ptr<curl_call> state)
    {
        state->handle = this->take_handle();
        state->last_activity = steady_clock::now();
        configure(*state, this->options);
        curl_multi_add_handle(this->multi, state->handle);
        this->active.emplace(state->id, std::move(state));
    }

    void finish_transfers()
    {
        int messages_left = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &messages_left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            const CURLcode code = message->data.result;
            curl_call* state = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &state);
            if (code == CURLE_OK && state->has_body && !has_explicit_length(*state))
            {
                this->end(state->id,
                          fail(error_code::broken, state->call.step, state->call.url,
                               "the answer's end cannot be told from a cut"));
            }
            else if (code == CURLE_OK)
            {
                report_head(*state);
                this->end(state->id, {});
            }
            else
            {
                this->end(state->id,
                          fail(classify_failure(code, *state), state->call.step,
                               state->call.url,
                               state->rejection != nullptr ? state->rejection
                                                           : curl_easy_strerror(code)));
            }
        }
    }

    void end(http_client::call_id id, const result<void>& outcome)
    {
        const auto found = this->active.find(id);
        const std::unique_ptr<curl_call> state = std::move(found->second);
        this->active.erase(found);
        curl_multi_remove_handle(this->multi, state->handle);
        curl_easy_reset(state->handle);
        if (this->idle_handles.size() < max_idle_handles)
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
    std::deque<std::unique_ptr<curl_call>> started_calls;
    std::deque<http_client::call_id> cancelled_calls;
    std::unordered_map<http_client::call_id, std::unique_ptr<curl_call>> active;
    std::vector<CURL*> idle_handles;
    steady_clock::time_point next_idle_check;
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
        const std::uint64_t number =
            this->next_number.fetch_add(1, std::memory_order_relaxed);
        const std::size_t thread_index = number % this->threads.size();
        auto state = std::make_unique<curl_call>();
        state->id = (number << thread_index_bits) | thread_index;
        state->call = std::move(call);
        state->sink = std::move(sink);
        const call_id id = state->id;
        this->threads[thread_index]->start(std::move(state));
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
        this->threads[call & ((1U << thread_index_bits) - 1)]->cancel(call);
    }

  private:
    std::atomic<std::uint64_t> next_number{1};
    std::vector<std::unique_ptr<client_thread>> threads;
};

/// Collects a complete answer, within the limit of its call and the memory of the
/// process.
class collecting_sink final : public http_sink, private memory_holder
{
  public:
    collecting_sink(const http_call& call,
                    std::function<void(result<http_reply>)> done_action)
        : step(call.step)
        , url(call.url)
        , max_body_bytes(call.max_body_bytes)
        , done(std::move(done_action))
    {
    }

    ~collecting_sink() override { process_memory_budget().remove(*this); }
    collecting_sink(const collecting_sink&) = delete;
    collecting_sink& operator=(const collecting_sink&) = delete;

    void on_head(int status, const std::vector<http_header>& headers) override
    {
        this->reply.status = status;
        this->reply.headers = headers;
    }

    [[nodiscard]] bool on_data(std::string_view data) override
    {
        this->is_too_large = this->reply.body.size() + data.size() > this->max_body_bytes;
        if (this->is_too_large || this->is_released)
        {
            return false;
        }
        this->reply.body.append(data);
        const time_point now = steady_clock::now();
        process_memory_budget().update(
            *this, {this->reply.body.capacity(), hold_kind::in_progress, 0, now}, now);
        return true;
    }

    void on_done(const result<void>& outcome) override
    {
        if (this->is_too_large || (this->is_released && !outcome))
        {
            this->done(fail(error_code::broken, this->step, this->url,
                            this->is_too_large ? "the answer is too large"
                                               : "the process holds too much"));
        }
        else if (outcome)
        {
            this->done(std::move(this->reply));
        }
        else
        {
            this->done(tl::unexpected<error>(outcome.error()));
        }
    }

  private:
    /// The next bytes of the answer, or its end, free what it has brought.
    void release(resource_shortage) override { this->is_released = true; }

    std::string step;
    std::string url;
    std::size_t max_body_bytes;
    http_reply reply;
    bool is_too_large = false;
    std::atomic<bool> is_released{false}; ///< The process holds too much.
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
    auto sink = std::make_shared<collecting_sink>(call, std::move(done));
    return this->start(std::move(call), std::move(sink));
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
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialized != CURLE_OK || options.threads == 0 ||
        options.threads >= (1U << thread_index_bits))
    {
        return fail(error_code::invalid, "http client", "", "between 1 and 255 threads");
    }
    return std::make_unique<client_impl>(options);
}

} // namespace agateseam
