/// Interface that translates the messages of callers and backend servers. The platform
/// folder and the project's stand-ins implement it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <agateseam/backend_directory.hpp>
#include <agateseam/keyed_map.hpp>
#include <transport/caller_connection.hpp>
#include <transport/message_parser.hpp>
#include <transport/upstream_connection.hpp>

namespace agateseam
{

/// \brief Metadata read from a caller's request.
struct request_metadata
{
    std::string id;  ///< Set by the caller; each try has its own.
    std::string key; ///< API key; empty when the request has none.
    std::optional<std::chrono::milliseconds> max_wait; ///< How long the caller waits.
    bool declares_tokens = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;                ///< Maximum.
    std::optional<std::int64_t> expected_output;   ///< Caller's estimate.
    std::optional<std::int64_t> last_event_number; ///< The stream resumes after it.
    /// The caller's try that brought the first event of the stream; empty when unknown.
    std::string resumed_request;
    /// Parts of the prompt, in order, that other requests may have too.
    std::vector<name_key> shared_parts;
};

/// Which part of a model request a call asks for.
enum class engine_step : std::uint8_t
{
    whole,   ///< For plain services, and servers that do both stages.
    prefill, ///< Processes the prompt and keeps its KV cache.
    decode   ///< Generates tokens.
};

/// \brief Values that the entry adds to a request that it forwards.
struct forward_options
{
    const backend_server* server = nullptr;
    std::chrono::milliseconds time_left{0};
    std::string_view workspace; ///< Empty on open routes.
    engine_step step = engine_step::whole;
    std::string kv_source;   ///< "IP:port/handle" of the KV cache to fetch; may be empty.
    std::string reservation; ///< Name of the decode reservation; may be empty.
    /// The stream resumes after it; without one, after the event that the caller names.
    std::optional<std::int64_t> last_event_number;
};

/// A longer time counts as this; it stays far from the end of the clock.
inline constexpr std::chrono::hours max_retry_after{24 * 365 * 100};

/// \brief Metadata read from a backend server's reply.
struct reply_metadata
{
    std::string request_id; ///< Empty when the reply names no request.
    bool is_signed = false; ///< The reply has a signature field of the server.
    bool not_run = false;   ///< The server says that it did not run the request.
    std::string server_id;  ///< Of the server that replies; mostly empty.
    bool leaving = false;   ///< The server says that it shuts down.
    /// The requests a second that the server takes from all entries together.
    std::optional<double> limit_per_second;
    /// How much longer the server is cold; no value when it says nothing valid of it.
    std::optional<std::chrono::milliseconds> cold_remaining;
    std::optional<std::chrono::milliseconds> retry_after; ///< At most `max_retry_after`.
    std::string invalid_retry_after; ///< As sent; empty unless it isn't a time span.
};

/// \brief A prefilled prompt, kept at the server that processed it.
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
    [[nodiscard]] virtual result<request_metadata>
    read_request(const message_head& head) const = 0;

    /// \brief Returns the head of a request to a backend server.
    [[nodiscard]] virtual std::string
    write_request(const caller_request& request, const forward_options& order) const = 0;

    [[nodiscard]] virtual reply_metadata read_reply(const message_head& head) const = 0;

    /// \brief Returns the head and body of a call that reserves KV memory for decode.
    [[nodiscard]] virtual std::string
    write_reservation_request(const backend_server& server, std::int64_t tokens,
                              std::chrono::milliseconds life) const = 0;
    /// \returns the reservation's name, or `invalid`.
    [[nodiscard]] virtual result<std::string>
    read_reservation_reply(std::string_view body) const = 0;
    [[nodiscard]] virtual std::string
    write_release_request(const backend_server& server,
                          std::string_view reservation) const = 0;

    [[nodiscard]] virtual result<prefilled_prompt>
    read_prefill_reply(std::string_view body) const = 0;
    [[nodiscard]] virtual std::string
    write_kv_release_request(const backend_server& server,
                             std::string_view handle) const = 0;

    /// \brief Returns the head of a call that asks a server for its memory in use.
    [[nodiscard]] virtual std::string
    write_memory_report_request(const backend_server& server) const = 0;
    /// \returns the tokens of KV memory that can't be preempted at the server, or
    /// `invalid`.
    [[nodiscard]] virtual result<std::int64_t>
    read_memory_report(std::string_view body) const = 0;

    /// \brief Returns the path at which the platform asks whether this entry is ready.
    [[nodiscard]] virtual std::string_view readiness_path() const noexcept = 0;
};

/// \brief Returns a function that tells which request a reply belongs to.
///
/// The request that a reply names decides. A reply that names none may be a late or extra
/// one of an earlier request, unless it is the first on its connection.
/// \param request_id empty for a call that has none; it accepts a reply that names none.
/// \param dialect, link must outlive the function.
[[nodiscard]] std::function<response_match(const message_head&)>
make_reply_filter(const backend_dialect& dialect, const upstream_connection& link,
                  std::string request_id);

/// \brief Tells whether a header field concerns only one connection (hop-by-hop).
/// \param connection value of the message's Connection field.
[[nodiscard]] bool is_hop_by_hop_header(std::string_view name,
                                        std::string_view connection) noexcept;

} // namespace agateseam
