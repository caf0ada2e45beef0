/// Server-sent events: taken apart as bytes arrive, and put together.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agateseam
{

/// \brief One event; the views live until the splitter is fed again.
struct server_sent_event
{
    std::string_view name; ///< The "event" field; empty for plain data.
    std::string_view id;
    std::string_view data;
};

/// \brief Finds whole events in a stream of bytes; comments are passed over.
class event_splitter
{
  public:
    /// \brief Adds bytes as they arrived.
    void feed(std::string_view bytes);

    /// \brief Takes the next whole event, or nothing when none is complete.
    [[nodiscard]] std::optional<server_sent_event> next();

    /// \brief Tells whether bytes of an unfinished event are held.
    [[nodiscard]] bool partial() const noexcept
    {
        return this->offset < this->buffer.size();
    }

  private:
    std::string buffer;
    std::size_t offset = 0;
};

/// \brief Returns an event's text; empty name and id are left out.
[[nodiscard]] std::string to_text(const server_sent_event& event);

/// The comment that shows a quiet stream to be alive.
inline constexpr std::string_view stream_heartbeat = ":\n\n";

/// The data of the event that ends a complete answer.
inline constexpr std::string_view stream_end = "[DONE]";

} // namespace agateseam
