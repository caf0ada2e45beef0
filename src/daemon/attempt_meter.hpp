/// Follows one attempt at its agent: events, engine time, waste.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <agateseam/clock.hpp>
#include <daemon/messages.hpp>
#include <daemon/telemetry.hpp>

namespace agateseam
{

/// \brief One per attempt; calls come from one thread at a time.
class attempt_meter
{
  public:
    /// \param telemetry must outlive the object.
    attempt_meter(process_telemetry& telemetry, const attempt_order& order);

    /// \brief Adds an event of this attempt to the time line.
    void note(event_kind kind, std::string_view peer = {}, std::int64_t value = 0,
              std::string_view detail = {});

    /// \brief The engine time of whatever comes next begins now.
    void engine_begun() noexcept;

    /// \brief Returns the engine time since engine_begun, in microseconds.
    [[nodiscard]] std::uint64_t engine_microseconds() const noexcept;

    /// \brief The prefill was done elsewhere and its result is taken over.
    /// \param microseconds engine time as the prefill agent reports it.
    void prefilled(std::uint64_t microseconds, std::uint64_t prompt_tokens);

    /// \brief One more token went to the relay.
    void token() noexcept { ++this->tokens; }

    /// \brief The attempt ended, whole or not; later calls change nothing.
    /// \remarks Engine time goes to the workspace when tokens went to the relay, and to the
    /// waste when none did. A resumed attempt's prefill was paid for before: it is waste.
    void end();

    /// \brief A prefill ended here whose result nobody will decode.
    void prefill_lost(std::uint64_t prompt_tokens);

  private:
    void charge(const usage_counters& counters);

    process_telemetry* telemetry;
    std::string request;
    std::uint32_t attempt;
    std::string workspace;
    std::string pool;
    bool resumed;
    time_point begun{};
    std::uint64_t prefill_microseconds = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t tokens = 0;
    bool ended = false;
};

} // namespace agateseam
