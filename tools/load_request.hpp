/// One request of the load tool: reads the answer to its end and checks it.
#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <daemon/server_sent_events.hpp>
#include <fakes/answer_text.hpp>
#include <net/http_client.hpp>

namespace agateseam::load
{

/// The counts of one workspace's requests.
struct workspace_counts
{
    std::uint32_t sent = 0;
    std::uint32_t completed = 0;
    std::uint32_t refused = 0;
};

/// The results of all requests, shared by them under the mutex.
struct load_results
{
    std::mutex mutex;
    std::condition_variable changed;
    std::uint32_t in_flight = 0;
    std::uint32_t sent = 0;
    std::uint32_t completed = 0;  ///< Answers as expected; for bookings, any 200.
    std::uint32_t truncated = 0;  ///< Answers that failed or ended early.
    std::uint32_t mismatched = 0; ///< Complete answers with an unexpected text.
    std::uint64_t output_tokens = 0;
    std::map<std::string, std::uint32_t> refused; ///< Counts by error code and run state.
    std::map<std::string, workspace_counts> workspaces;
    std::vector<double> first_token_ms;
    std::vector<double> token_gap_ms;
    nlohmann::json bookings =
        nlohmann::json::array(); ///< The key, status and run state of each booking.
};

/// Reads one answer to its end, compares it with the expected text and records the
/// result.
class load_request final : public http_sink
{
  public:
    /// \param idempotency_key of a booking; empty for a model request.
    load_request(load_results& shared, std::string sender_workspace,
                 const std::string& prompt, std::uint32_t max_tokens, bool stream,
                 std::string idempotency_key)
        : results(&shared)
        , workspace(std::move(sender_workspace))
        , seed(fakes::prompt_seed(prompt))
        , max_output_tokens(max_tokens)
        , streamed(stream)
        , booking_key(std::move(idempotency_key))
        , started_at(std::chrono::steady_clock::now())
    {
    }

    void on_head(int status_code, const std::vector<http_header>& head) override
    {
        this->status = status_code;
        for (const auto& [name, value] : head)
        {
            if (name == "x-agateseam-run")
            {
                this->run_state = value;
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
            this->handle_event(*event);
        }
        return true;
    }

    void on_done(const result<void>& done) override
    {
        const std::scoped_lock lock(this->results->mutex);
        const std::uint32_t completed_before = this->results->completed;
        this->record_outcome(done);
        workspace_counts& counts = this->results->workspaces[this->workspace];
        counts.completed += this->results->completed - completed_before;
        counts.refused += done && this->status != 200 ? 1 : 0;
        --this->results->in_flight;
        this->results->changed.notify_all();
    }

  private:
    void handle_event(const server_sent_event& event)
    {
        if (event.data == stream_end)
        {
            this->reached_end = true;
            return;
        }
        const nlohmann::json chunk = nlohmann::json::parse(event.data, nullptr, false);
        if (!chunk.is_object() || chunk.value("choices", nlohmann::json::array()).empty())
        {
            return;
        }
        const std::string chunk_text = chunk["choices"][0].value("text", "");
        if (chunk_text.empty())
        {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const double elapsed_ms =
            std::chrono::duration<double, std::milli>(
                now - (this->text.empty() ? this->started_at : this->last_token_at))
                .count();
        (this->text.empty() ? this->first_token_ms : this->token_gap_ms)
            .push_back(elapsed_ms);
        this->last_token_at = now;
        this->text += chunk_text;
    }

    void record_outcome(const result<void>& done)
    {
        if (!this->booking_key.empty())
        {
            this->results->bookings.push_back({{"key", this->booking_key},
                                               {"status", done ? this->status : 0},
                                               {"run", this->run_state}});
        }
        if (done && this->status != 200)
        {
            const nlohmann::json answer =
                nlohmann::json::parse(this->body, nullptr, false);
            const nlohmann::json failure =
                answer.is_object() ? answer.value("error", nlohmann::json::object())
                                   : nlohmann::json::object();
            ++this->results->refused[failure.value("code", std::to_string(this->status)) +
                                     "/" + failure.value("run", "?")];
            return;
        }
        if (!this->booking_key.empty())
        {
            this->results->completed += done ? 1 : 0;
            this->results->truncated += done ? 0 : 1;
            return;
        }
        this->check_text(done);
    }

    /// Counts the answer to a model request as completed, truncated or mismatched.
    void check_text(const result<void>& done)
    {
        if (!this->streamed)
        {
            const nlohmann::json answer =
                nlohmann::json::parse(this->body, nullptr, false);
            this->reached_end = answer.is_object() && answer.contains("choices");
            this->text = this->reached_end ? answer["choices"][0].value("text", "") : "";
        }
        std::string expected;
        const std::uint32_t length =
            std::min(this->max_output_tokens, fakes::natural_length(this->seed));
        for (std::uint32_t index = 0; index < length; ++index)
        {
            expected += fakes::token_text(this->seed, index);
        }
        if (!done || !this->reached_end)
        {
            ++this->results->truncated;
        }
        else if (this->text != expected)
        {
            ++this->results->mismatched;
        }
        else
        {
            ++this->results->completed;
            this->results->output_tokens += length;
            append(this->results->first_token_ms, this->first_token_ms);
            append(this->results->token_gap_ms, this->token_gap_ms);
        }
    }

    static void append(std::vector<double>& target, const std::vector<double>& source)
    {
        target.insert(target.end(), source.begin(), source.end());
    }

    load_results* results;
    std::string workspace;
    std::string seed; ///< Determines the text that the stand-in generates.
    std::uint32_t max_output_tokens;
    bool streamed;
    std::string booking_key; ///< Empty for a model request.
    std::chrono::steady_clock::time_point started_at;
    std::chrono::steady_clock::time_point last_token_at;
    int status = 0;
    std::string run_state;
    event_splitter events;
    std::string body;
    std::string text;
    bool reached_end = false;
    std::vector<double> first_token_ms;
    std::vector<double> token_gap_ms;
};

} // namespace agateseam::load
