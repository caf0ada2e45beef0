/// A bounded ring of a process's newest events.
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

/// \brief Keeps the newest events of one process; safe from any thread.
///
/// \remarks A writer takes no lock and never waits: an event whose slot is being read or
/// written at that moment is dropped and counted.
class event_log
{
  public:
    static constexpr std::size_t request_size =
        48;                                      ///< Characters kept of a request's id.
    static constexpr std::size_t name_size = 24; ///< Characters kept of other texts.

    /// \param process the VM's name.
    /// \param clock must outlive the log.
    /// \param capacity events kept; rounded up to a power of two, at least 2.
    event_log(std::string process, hybrid_clock& clock, std::size_t capacity = 8'192);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// \brief Stamps and keeps an event.
    void add(const event_note& note) noexcept;

    /// \brief Copies the events that came after a sequence number, oldest first.
    /// \param limit events returned at most.
    [[nodiscard]] std::vector<event> after(std::uint64_t sequence,
                                           std::size_t limit = 100'000) const;

    /// \brief Returns how many events were added so far, the dropped among them.
    [[nodiscard]] std::uint64_t added() const noexcept;

    /// \brief Returns how many events were dropped because their slot was in use.
    [[nodiscard]] std::uint64_t dropped() const noexcept;

    /// \brief Returns the memory that the ring takes, in bytes.
    [[nodiscard]] std::size_t bytes() const noexcept;

  private:
    struct slot;

    std::string process;
    hybrid_clock* clock;
    std::size_t mask;
    std::unique_ptr<slot[]> slots;
    std::atomic<std::uint64_t> next{0};
    std::atomic<std::uint64_t> lost{0};
};

} // namespace agateseam
