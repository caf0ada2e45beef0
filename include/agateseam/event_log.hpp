/// A ring buffer of a process's newest events.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <agateseam/event.hpp>

namespace agateseam
{

/// \brief Keeps the newest events of one process. Thread-safe.
///
/// \remarks Adding an event never blocks: if the event's slot in the ring is being read
/// or written at that moment, the event is dropped and counted.
class event_log
{
  public:
    /// Characters kept of a request's id.
    static constexpr std::size_t max_request_id_length = 48;

    /// Characters kept of every other text of an event.
    static constexpr std::size_t max_text_length = 24;

    /// \param process the name of the process's VM.
    /// \param clock must outlive the log.
    /// \param capacity the number of events kept; rounded up to a power of two, at
    /// least 2.
    event_log(std::string process, hybrid_clock& clock, std::size_t capacity = 8'192);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// \brief Timestamps an event and stores it.
    void add(const event_view& view) noexcept;

    /// \brief Returns copies of the events with a higher sequence number, oldest first.
    /// \param limit the maximum number of events returned.
    [[nodiscard]] std::vector<event> after(std::uint64_t sequence,
                                           std::size_t limit = 100'000) const;

    /// \brief Returns how many events were added so far, including the dropped ones.
    [[nodiscard]] std::uint64_t added() const noexcept;

    /// \brief Returns how many events were dropped because their slot was in use.
    [[nodiscard]] std::uint64_t dropped() const noexcept;

    /// \brief Returns the size of the ring buffer in bytes.
    [[nodiscard]] std::size_t bytes() const noexcept;

  private:
    struct slot;

    std::string process;
    hybrid_clock* clock;
    std::size_t mask;
    std::unique_ptr<slot[]> slots;
    std::atomic<std::uint64_t> last_sequence{0};
    std::atomic<std::uint64_t> dropped_count{0};
};

} // namespace agateseam
