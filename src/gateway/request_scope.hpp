/// One request on its way: what decides about it, and the answers that an entry makes
/// itself.
#pragma once

#include <string>
#include <string_view>

#include <gateway/entry_state.hpp>

namespace agateseam
{

/// \brief A request that was let in, and what it may use.
struct request_scope
{
    entry_state* state = nullptr;
    caller_exchange* exchange = nullptr;
    std::shared_ptr<const routing_table> routing; ///< In force when it arrived.
    request_facts facts;
    const service_route* route = nullptr;
    const workspace_limits* workspace = nullptr; ///< Null on open routes.
    std::string service;
    double tokens = 0;  ///< Taken from the workspace's allowance.
    time_point until{}; ///< Final answer by then.

    // For the log line at the end.
    std::string outcome = "none";
    std::string server;
    std::uint32_t attempts = 0;
    duration waited{};
    duration first_event{};         ///< Streams: from arrival.
    duration longest_gap{};         ///< Streams: between events.
    std::int64_t output_tokens = 0; ///< Streams: relayed to the caller.

    [[nodiscard]] std::string_view workspace_name() const noexcept
    {
        return this->workspace == nullptr ? std::string_view{}
                                          : std::string_view(this->workspace->name);
    }

    [[nodiscard]] std::uint32_t urgency() const noexcept
    {
        return this->workspace != nullptr && this->workspace->priority
                   ? *this->workspace->priority
                   : this->route->priority;
    }

    /// \brief Tells whether it is for a model engine.
    [[nodiscard]] bool is_model() const;

    /// \brief Tells whether the key still holds: one may be withdrawn while it waits.
    [[nodiscard]] bool key_holds() const;

    /// \brief Gives back the tokens of a request that did not run.
    void refund();
};

/// Whether the caller can rely on the request not having run.
enum class run_word : std::uint8_t
{
    not_run,
    unknown
};

/// \brief One answer of the entry's own.
struct own_answer
{
    int status = 0;
    std::string_view reason; ///< A code for people and programs.
    run_word word = run_word::not_run;
    duration retry_after{}; ///< Zero: no field.
};

/// \brief Sends it.
task<void> answer_with(request_scope& scope, own_answer made);

/// Taken off the caller's time, so that an answer is back before it ends.
inline constexpr std::chrono::milliseconds way_back{10};

/// \brief Returns the time that a server is told it has.
[[nodiscard]] std::chrono::milliseconds time_left(const request_scope& scope);

/// \brief Notes what one call says of a server.
void note_sign(entry_state& state, const std::string& server, server_observation sign,
               duration took);

/// \brief Logs a step of a request that went wrong.
void log_step(const request_scope& scope, std::string_view event, std::string_view server,
              std::string_view reason);

/// \brief Passes a backend server's whole answer on.
task<void> relay_answer(request_scope& scope, const message_head& head, std::string body);

/// \brief Returns a server's answer head as the caller gets it.
[[nodiscard]] caller_answer_head relayed_head(const message_head& head);

/// \brief Tells whether callers take a status as "not run and never will be".
[[nodiscard]] constexpr bool promises_not_run(int status) noexcept
{
    constexpr int timeout = 408;
    constexpr int misdirected = 421;
    constexpr int too_many = 429;
    constexpr int unavailable = 503;
    return status == timeout || status == misdirected || status == too_many ||
           status == unavailable;
}

inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_too_many = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_late = 504;

} // namespace agateseam
