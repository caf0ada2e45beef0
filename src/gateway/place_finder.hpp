/// Chooses a decode server for a model request and reserves memory there.
#pragma once

#include <memory>

#include <gateway/decode_place.hpp>
#include <gateway/request_scope.hpp>

namespace agateseam
{

/// A model server can't do anything useful in less time than this.
inline constexpr std::chrono::milliseconds min_model_attempt_time{50};

/// \brief Queues a request until its expected memory fits a decode server, and reserves
/// it.
class place_finder
{
  public:
    explicit place_finder(request_scope& request);

    /// \brief Allows only servers of one version, as the stream has begun there. It then
    /// doesn't wait behind streams that other servers can take.
    void set_version(name_key required) { this->version = required; }

    /// \brief Tells whether a decode server of the required version may be used.
    [[nodiscard]] bool has_server_of_version() const;

    /// \brief Tells whether any server is large enough for the request.
    [[nodiscard]] bool can_ever_fit() const;

    /// \brief Finds a decode server and reserves memory there.
    /// \returns null when the caller has disconnected, its key was withdrawn, or the
    /// maximum waiting time has passed.
    task<std::unique_ptr<decode_place>> find();

    /// \brief Reserves memory at a decode server that has it now, without waiting.
    /// \param excluded a server that isn't considered.
    /// \returns null when there is none.
    task<std::unique_ptr<decode_place>> find_now(std::string excluded);

    /// \brief Takes what sending the request to its place needs, unless the place has it.
    /// \returns false if the server accepts no work now.
    [[nodiscard]] bool begin_send(decode_place& place);

    /// \brief Gives a request that lost its place to an evacuation the waiting time of a
    /// new one: what it has waited before brought it that place. It keeps its rank.
    void record_lost_place(const backend_server& server);

    /// \brief Releases an unused reservation at its server.
    void release(decode_place& place);

    /// \brief Returns how long this request, or one that comes now, is likely to wait for
    /// a place.
    [[nodiscard]] duration expected_wait() const;

    /// \brief Returns when the latest reservation was made.
    [[nodiscard]] time_point last_reserved_at() const noexcept
    {
        return this->reserved_at;
    }

  private:
    [[nodiscard]] std::shared_ptr<const backend_server>
    choose(time_point now, std::string_view excluded = {});
    /// \param needs_spare whether another server must be able to go on with the stream.
    [[nodiscard]] std::shared_ptr<const backend_server>
    choose(time_point now, std::string_view excluded, bool needs_spare);
    [[nodiscard]] bool has_spare(const backend_server& server) const;
    [[nodiscard]] bool may_send_to(const backend_server& server, time_point now);
    void record_pace_wait(std::string_view server);
    [[nodiscard]] std::int64_t initial_tokens() const;
    task<bool> reserve(decode_place& place);
    void leave_queue(waiting_queue::ticket ticket);
    void log_reserved(const backend_server& server) const;
    void log_not_reserved(std::string_view reason) const;

    request_scope* scope;
    entry_state* state;
    engine_service* engines;
    engine_properties properties;
    stream_memory expected_memory;
    std::optional<name_key> version; ///< The only one that may be used.
    time_point reserved_at{};
    time_point place_lost_at{}; ///< When the latest place was lost to an evacuation.
    bool is_queued = false;
    bool is_place_paced = false; ///< A server was left out for its pace alone.
    std::optional<time_point> pace_wait_since;
    std::uint32_t reservations_refused = 0;
};

} // namespace agateseam
