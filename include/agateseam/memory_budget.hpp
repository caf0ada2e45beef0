/// Bounds the memory and the connections that callers and servers make a process hold.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <mutex>
#include <vector>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief What held memory waits for.
enum class hold_kind : std::uint8_t
{
    awaits_peer,   ///< Idle connections, unfinished requests, answers that aren't read.
    awaits_server, ///< Complete requests that no server has received.
    in_progress    ///< Requests that a server may be running, and its answers.
};

/// \brief What there is too much of.
enum class resource_shortage : std::uint8_t
{
    memory,
    connections
};

/// \brief What one holder holds.
struct held_resources
{
    std::size_t bytes = 0;
    hold_kind kind = hold_kind::awaits_peer;
    std::size_t connections = 0; ///< Open sockets.
    time_point since{};          ///< Of the request, the answer or the idle time.
};

class memory_budget;

/// \brief Something that holds memory and can release it. A derived class removes itself
/// from its budget in its destructor.
class memory_holder
{
  public:
    virtual ~memory_holder() = default;
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;

    /// \brief Releases what it holds, as far as it can at once, and updates the budget.
    ///
    /// The budget is locked meanwhile. It doesn't choose the holder again for the same
    /// shortage until `memory_budget::renew` is called for it.
    virtual void release(resource_shortage shortage) = 0;

    /// \brief Calls `memory_budget::recount` if what it holds may have become less by
    /// itself. Called before any holder is released for its memory, while the budget is
    /// locked.
    virtual void recount() {}

  protected:
    memory_holder() = default;

  private:
    friend class memory_budget;
    static constexpr std::size_t not_listed = std::numeric_limits<std::size_t>::max();

    held_resources counted;
    std::size_t index = not_listed; ///< In the budget's list.
    bool has_released_memory = false;
    bool has_closed_connection = false;
};

/// \brief Adds up what all holders hold. Over a limit, it releases some of them.
///
/// Load pattern: hundreds of callers send large requests and stop just before the end,
/// don't read their answers, or open connections and send nothing, beside ordinary
/// callers and servers whose answers don't end. Those go first that have cost the most:
/// bytes by time, so that a request that is being sent at the usual pace outlives stalled
/// ones of any size. What is in progress costs only by its size, since a long stream
/// isn't at fault for its age. Of connections, idle ones and unfinished requests go
/// first.
///
/// All functions may be called from any thread; `release` may call `update` and `remove`.
class memory_budget
{
  public:
    static constexpr std::size_t default_byte_limit = std::size_t{64} << 20;

    void set_limits(std::size_t bytes, std::size_t connections);

    /// \brief Records what a holder holds now, and releases holders if that is too much.
    /// The holder itself may be among these.
    void update(memory_holder& holder, const held_resources& held, time_point now);

    /// \brief Sets what a holder still holds, for the same reason and since the same
    /// time.
    void recount(memory_holder& holder, std::size_t bytes);

    /// \brief Lets a holder be released again, which holds something new.
    void renew(memory_holder& holder);

    void remove(memory_holder& holder);

    [[nodiscard]] std::size_t bytes() const;
    [[nodiscard]] std::size_t connections() const;

    /// \brief Returns how often a holder was released.
    [[nodiscard]] std::uint64_t releases() const;

  private:
    void add(const held_resources& held);
    void subtract(const held_resources& held);
    void enforce(time_point now);
    void recount_all();
    void release_until(resource_shortage shortage, std::size_t target, time_point now);
    [[nodiscard]] std::vector<memory_holder*> candidates(resource_shortage shortage,
                                                         time_point now) const;
    /// Tells whether a release is of use and was not tried before.
    [[nodiscard]] static bool is_candidate(const memory_holder& holder,
                                           resource_shortage shortage) noexcept;
    void release(memory_holder& holder, resource_shortage shortage);

    mutable std::recursive_mutex mutex;
    std::vector<memory_holder*> holders;
    std::size_t byte_limit = default_byte_limit;
    std::size_t connection_limit = std::numeric_limits<std::size_t>::max();
    std::size_t held_bytes = 0;
    std::size_t held_connections = 0;
    std::uint64_t release_count = 0;
    std::uint64_t removal_count = 0;
    bool is_enforcing = false;
};

/// \brief Returns the budget of a process whose callers and servers share one.
[[nodiscard]] memory_budget& process_memory_budget();

/// \brief Returns the part of a process's memory that callers and servers may use. The
/// rest is for the process itself, for copies while a buffer grows, and for gaps between
/// allocations.
[[nodiscard]] constexpr std::size_t held_memory_limit(std::size_t process_memory) noexcept
{
    constexpr std::size_t divisor = 4;
    return process_memory / divisor;
}

/// \brief Returns how many of a process's descriptors may be connections of callers and
/// for their requests. The rest is for the store, other entries, listeners and files.
[[nodiscard]] constexpr std::size_t connection_limit_of(std::size_t descriptors) noexcept
{
    constexpr std::size_t numerator = 5;
    constexpr std::size_t denominator = 8;
    return descriptors * numerator / denominator;
}

} // namespace agateseam
