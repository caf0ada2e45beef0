/// Parsing and formatting of server-sent events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agateseam
{

/// \brief One event; its views are valid until the next call of event_splitter::feed.
struct server_sent_event
{
    std::string_view name; ///< The "event" field; empty for plain data.
    std::string_view id;
    std::string_view data;
};

/// \brief Extracts complete events from a stream of bytes and skips comments.
class event_splitter
{
  public:
    /// \brief Appends received bytes.
    void feed(std::string_view bytes);

    /// \brief Returns the next complete event, or nothing when there is none.
    [[nodiscard]] std::optional<server_sent_event> next();

    /// \brief Tells whether the buffer holds an incomplete event.
    [[nodiscard]] bool partial() const noexcept
    {
        return this->offset < this->buffer.size();
    }

    /// \brief Tells whether the incomplete event is larger than any event is.
    [[nodiscard]] bool is_oversize() const noexcept
    {
        constexpr std::size_t max_event_bytes = 1 << 20;
        return this->buffer.size() - this->offset > max_event_bytes;
    }

  private:
    std::string buffer;
    std::size_t offset = 0;
};

/// \brief Returns the text of an event; an empty name or id is omitted.
[[nodiscard]] std::string to_text(const server_sent_event& event);

/// The comment that is sent to show that a stream without events is still alive.
inline constexpr std::string_view stream_heartbeat = ":\n\n";

/// The data of the event that ends a complete answer.
inline constexpr std::string_view stream_end = "[DONE]";

} // namespace agateseam
