/// Splits a byte stream into whole server-sent events and keeps the last event's number.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agateseam
{

/// \brief Passes on whole events and buffers the beginning of an incomplete one.
class sse_event_splitter
{
  public:
    /// \brief Returns the size of the event that is incomplete.
    [[nodiscard]] std::size_t partial_size() const noexcept
    {
        return this->partial_event.size();
    }

    /// \brief Adds received bytes and returns the events that are now whole.
    [[nodiscard]] std::string extract_complete_events(std::string_view bytes);

    /// \brief Prepares for a stream that resumes after the last event: discards an
    /// incomplete event, and from then on skips events with a number that was returned
    /// before.
    void resume()
    {
        this->partial_event.clear();
        this->resumed_after = this->last_number;
    }

    [[nodiscard]] bool is_at_event_boundary() const noexcept
    {
        return this->partial_event.empty();
    }

    /// \brief Returns the number of the last whole event, if events are numbered.
    [[nodiscard]] std::optional<std::int64_t> last_event_number() const noexcept
    {
        return this->last_number;
    }

  private:
    [[nodiscard]] static std::optional<std::int64_t> event_number(std::string_view event);

    std::string partial_event;
    std::optional<std::int64_t> last_number;
    std::optional<std::int64_t> resumed_after; ///< Last number before the resumption.
};

} // namespace agateseam
