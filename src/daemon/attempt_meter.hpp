/// Records the events, engine time and wasted work of one attempt at its agent.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/clock.hpp>
#include <daemon/messages.hpp>
#include <daemon/telemetry.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief Meters one attempt. Its functions must not be called concurrently.
class attempt_meter
{
  public:
    /// \param telemetry must outlive the object.
    attempt_meter(process_telemetry& telemetry, const attempt_order& order);

    /// \brief Adds an event of this attempt to the timeline.
    void record_event(event_kind kind, std::string_view peer = {}, std::int64_t value = 0,
                      std::string_view detail = {});

    /// \brief Starts to measure engine time.
    void start_engine_timer() noexcept;

    /// \brief Returns the engine time since start_engine_timer, in microseconds.
    [[nodiscard]] std::uint64_t engine_microseconds() const noexcept;

    /// \brief Returns the header that reports the engine time so far to a decode agent.
    [[nodiscard]] http_header engine_time_header() const;

    /// \brief Records a prefill that another agent has completed.
    /// \param reply the answer of the prefill agent, with its engine time.
    /// \param usage the token counts of the engine.
    void record_prefill(const http_reply& reply, const nlohmann::json& usage);

    /// \brief Counts a chunk that was sent to the entry, if it carries a token.
    void count_chunk(bool carries_token) noexcept
    {
        this->tokens += carries_token ? 1 : 0;
    }

    /// \brief Records that the entry has closed the connection or the lease has ended.
    void record_cancelled();

    /// \brief Records the end of the attempt, complete or not; later calls have no
    /// effect.
    ///
    /// \remarks Engine time is charged to the workspace if tokens were sent to
    /// the entry, and counts as waste otherwise. The prefill of a resumed attempt always
    /// counts as waste, because the workspace was charged for the first one.
    void end();

    /// \brief Records a prefill that ended here and whose result will not be decoded.
    void record_lost_prefill(std::uint64_t prompt_tokens);

  private:
    void charge(const usage_counters& counters);

    process_telemetry* telemetry;
    std::string request;
    std::uint32_t attempt;
    std::string workspace;
    std::string pool;
    bool resumed;
    time_point engine_started_at{};
    std::uint64_t prefill_microseconds = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t tokens = 0;
    bool ended = false;
};

} // namespace agateseam
