/// What callers and backend servers say to an entry, in the product's own words; the
/// platform's folder and the project's stand-ins implement it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/backend_directory.hpp>
#include <transport/caller_connection.hpp>
#include <transport/message_parser.hpp>

namespace agateseam
{

/// \brief What a caller's request says of itself.
struct request_facts
{
    std::string id;  ///< The caller's; one for each try.
    std::string key; ///< Empty when none came.
    std::optional<std::chrono::milliseconds> patience; ///< How long the caller waits.
    bool declares_tokens = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;              ///< At most.
    std::optional<std::int64_t> expected_output; ///< The caller's guess.
    std::optional<std::int64_t> last_event;      ///< Resume after this event.
};

/// Which part of a model request a call asks for.
enum class engine_step : std::uint8_t
{
    whole,   ///< Plain services, and servers that do both stages.
    prefill, ///< Read the prompt and keep the KV cache.
    decode   ///< Make tokens.
};

/// \brief What the entry adds to a request that it passes on.
struct forward_order
{
    const backend_server* server = nullptr;
    std::chrono::milliseconds time_left{0};
    std::string_view workspace; ///< Empty on open routes.
    engine_step step = engine_step::whole;
    std::string kv_source;   ///< "IP:port/handle" of a KV cache to take; may be empty.
    std::string reservation; ///< Reserved place to use; may be empty.
    std::optional<std::int64_t> last_event;
};

/// \brief What a backend server's answer says of itself.
struct reply_facts
{
    std::string request_id; ///< Empty when it names none.
    bool is_signed = false; ///< The server vouches for it.
    bool not_run = false;   ///< The server says that it did not run the request.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// \brief A prefilled prompt at the server that read it.
struct prefilled_prompt
{
    std::string handle;
    std::int64_t tokens = 0;
};

/// \brief Reads and writes the messages of callers and backend servers.
class backend_dialect
{
  public:
    virtual ~backend_dialect() = default;

    /// \returns `invalid` when the request breaks the protocol.
    [[nodiscard]] virtual result<request_facts>
    read_request(const message_head& head) const = 0;

    /// \brief Returns the head of a request to a backend server.
    [[nodiscard]] virtual std::string write_request(const caller_request& request,
                                                    const forward_order& order) const = 0;

    [[nodiscard]] virtual reply_facts read_reply(const message_head& head) const = 0;

    /// \brief Returns the head and body of a call that reserves a decode place.
    [[nodiscard]] virtual std::string
    write_reserve(const backend_server& server, std::int64_t tokens,
                  std::chrono::milliseconds life) const = 0;
    /// \returns the reservation's name, or `invalid`.
    [[nodiscard]] virtual result<std::string>
    read_reserve(std::string_view body) const = 0;
    [[nodiscard]] virtual std::string
    write_release(const backend_server& server, std::string_view reservation) const = 0;

    [[nodiscard]] virtual result<prefilled_prompt>
    read_prefilled(std::string_view body) const = 0;
    [[nodiscard]] virtual std::string write_forget(const backend_server& server,
                                                   std::string_view handle) const = 0;

    /// \brief Returns the head of a call that asks a server for its load.
    [[nodiscard]] virtual std::string
    write_report(const backend_server& server) const = 0;
    /// \returns the tokens that can't yield at the server, or `invalid`.
    [[nodiscard]] virtual result<std::int64_t>
    read_report(std::string_view body) const = 0;

    /// \brief Returns the path at which the platform asks whether this entry is ready.
    [[nodiscard]] virtual std::string_view readiness_path() const noexcept = 0;
};

/// \brief Returns a judge of answers' heads: one that names another request is a late or
/// extra answer and not to this one; one that names none is taken to be.
/// \param dialect outlives the judge.
[[nodiscard]] std::function<bool(const message_head&)>
answers_to(const backend_dialect& dialect, std::string request_id);

/// \brief Tells whether a field concerns only one connection.
/// \param connection the message's Connection field.
[[nodiscard]] bool only_for_connection(std::string_view name,
                                       std::string_view connection) noexcept;

} // namespace agateseam
