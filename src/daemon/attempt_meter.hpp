/// Follows one attempt at its agent: events, engine time, waste.
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

    /// \brief Returns the header that tells a decode agent the engine time so far.
    [[nodiscard]] http_header engine_time_header() const;

    /// \brief The prefill was done elsewhere and its result is taken over.
    /// \param reply the prefill agent's answer, with its engine time.
    /// \param usage the engine's counts.
    void prefilled(const http_reply& reply, const nlohmann::json& usage);

    /// \brief A chunk went to the relay, with a token or without.
    void token(bool carried) noexcept { this->tokens += carried ? 1 : 0; }

    /// \brief The relay has gone.
    void cancelled();

    /// \brief The attempt ended, whole or not; later calls change nothing.
    /// \remarks Engine time goes to the workspace when tokens went to the relay, and to
    /// the waste when none did. A resumed attempt's prefill was paid for before: it is
    /// waste.
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
