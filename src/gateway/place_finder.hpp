/// Finds and reserves a decode place for a model request.
#pragma once

#include <memory>

#include <gateway/decode_place.hpp>
#include <gateway/request_scope.hpp>

namespace agateseam
{

/// Less than this is too little for a model server to do anything.
inline constexpr std::chrono::milliseconds shortest_model_attempt{50};

/// \brief Waits in line for a place whose expected memory fits, and reserves it.
class place_finder
{
  public:
    explicit place_finder(request_scope& chosen);

    /// \brief Tells whether any server could ever hold the request.
    [[nodiscard]] bool could_ever() const;

    /// \brief Finds a place.
    /// \returns null when the caller has gone, its key was withdrawn, or the request has
    /// waited as long as it may.
    task<std::unique_ptr<decode_place>> find();

    /// \brief Gives a reservation that wasn't used back to its server.
    void release(decode_place& place);

    /// \brief Returns when the newest place was reserved.
    [[nodiscard]] time_point placed_at() const noexcept { return this->reserved_at; }

  private:
    [[nodiscard]] std::shared_ptr<const backend_server> choose(time_point now);
    [[nodiscard]] std::int64_t first_tokens() const;
    task<bool> reserve(decode_place& place);
    void log_place(const backend_server& server) const;
    void log_no_place() const;

    request_scope* scope;
    entry_state* state;
    engine_service* engines;
    engine_properties terms;
    stream_memory memory;
    time_point reserved_at{};
    std::uint32_t reservations_refused = 0;
};

} // namespace agateseam
