/// A stream whose server is silent while another one is asked to go on with it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <gateway/decode_place.hpp>
#include <gateway/sse_event_splitter.hpp>
#include <transport/upstream_connection.hpp>

namespace agateseam
{

/// Largest event of a stream; bytes without an event's end are no answer.
inline constexpr std::size_t max_event_bytes = 1 << 20;

/// \brief The place, the connection and the progress of a stream at its silent server.
struct silent_stream
{
    std::unique_ptr<decode_place> place;
    std::shared_ptr<upstream_connection> link;
    sse_event_splitter events; ///< With the beginning of its next event.
    std::optional<time_point> first_event_at;
    std::string arrived_events; ///< That its caller hasn't got.

    /// \brief Reads what has arrived, without a wait.
    /// \returns whether more may arrive.
    bool read();

    /// \brief Tells whether a whole event, or all of the stream, has arrived.
    [[nodiscard]] bool has_gone_on() const;
};

} // namespace agateseam
