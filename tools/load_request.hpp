/// One request of the load tool: follows the answer to its end and judges it.
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

/// What came of one workspace's requests.
struct workspace_outcome
{
    std::uint32_t sent = 0;
    std::uint32_t whole = 0;
    std::uint32_t refused = 0;
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
    std::map<std::string, workspace_outcome> workspaces;
    std::vector<double> first_token_ms;
    std::vector<double> token_gap_ms;
    nlohmann::json bookings =
        nlohmann::json::array(); ///< Key, status and run state of each booking.
};

/// Follows one request to its end and judges the answer.
class load_request final : public http_sink
{
  public:
    load_request(load_outcome& shared, std::string owner, const std::string& prompt,
                 std::uint32_t limit, bool stream, std::string key)
        : outcome(&shared)
        , workspace(std::move(owner))
        , seed(fakes::prompt_seed(prompt))
        , output_limit(limit)
        , streamed(stream)
        , booking_key(std::move(key))
        , begun(std::chrono::steady_clock::now())
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
        const std::uint32_t whole = this->outcome->whole;
        this->judge(done);
        workspace_outcome& own = this->outcome->workspaces[this->workspace];
        own.whole += this->outcome->whole - whole;
        own.refused += done && this->status != 200 ? 1 : 0;
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
        const nlohmann::json chunk = nlohmann::json::parse(event.data, nullptr, false);
        if (!chunk.is_object() || chunk.value("choices", nlohmann::json::array()).empty())
        {
            return;
        }
        const std::string piece = chunk["choices"][0].value("text", "");
        if (piece.empty())
        {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
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
            const nlohmann::json refusal =
                nlohmann::json::parse(this->body, nullptr, false);
            const nlohmann::json fault =
                refusal.is_object() ? refusal.value("error", nlohmann::json::object())
                                    : nlohmann::json::object();
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
            const nlohmann::json answer =
                nlohmann::json::parse(this->body, nullptr, false);
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
    std::string workspace;
    std::string seed;
    std::uint32_t output_limit;
    bool streamed;
    std::string booking_key;
    std::chrono::steady_clock::time_point begun;
    std::chrono::steady_clock::time_point last;
    int status = 0;
    std::string run;
    event_splitter events;
    std::string body;
    std::string text;
    bool ended = false;
    std::vector<double> first_ms;
    std::vector<double> gaps_ms;
};

} // namespace agateseam::load
