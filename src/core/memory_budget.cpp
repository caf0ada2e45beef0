#include <agateseam/memory_budget.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace agateseam
{

namespace
{

using namespace std::chrono_literals;

/// Added to the age of what is held, so that of new holders the larger costs more.
constexpr auto min_age = 50ms;
/// What waits for a server costs this part of what waits for its caller.
constexpr double queued_weight = 0.25;
/// What is in progress counts as new, and costs this part of what waits for its caller:
/// an endless answer more than a new request, a large request less than connections that
/// were idle for seconds.
constexpr double in_progress_weight = 0.1;
/// Releasing goes on until this part of the limit is free, so that it isn't needed again
/// with the next bytes.
constexpr std::size_t free_part_divisor = 16;

/// Returns what a holder has cost, in byte seconds.
double cost_of(const held_resources& held, time_point now)
{
    duration age = std::max(now - held.since, duration::zero());
    double weight = 1;
    if (held.kind == hold_kind::awaits_server)
    {
        weight = queued_weight;
    }
    else if (held.kind == hold_kind::in_progress)
    {
        age = duration::zero();
        weight = in_progress_weight;
    }
    return weight * static_cast<double>(held.bytes) *
           std::chrono::duration<double>(age + duration(min_age)).count();
}

/// The rank of a holder among those that can be released; the highest goes first.
struct release_rank
{
    int kind = 0; ///< Only for connections, of which each holder frees about one.
    double cost = 0;
    memory_holder* holder = nullptr;

    [[nodiscard]] bool operator>(const release_rank& other) const noexcept
    {
        return this->kind != other.kind ? this->kind > other.kind
                                        : this->cost > other.cost;
    }
};

} // namespace

void memory_budget::set_limits(std::size_t bytes, std::size_t connections)
{
    const std::scoped_lock lock(this->mutex);
    this->byte_limit = bytes;
    this->connection_limit = connections;
}

void memory_budget::update(memory_holder& holder, const held_resources& held,
                           time_point now)
{
    const std::scoped_lock lock(this->mutex);
    if (holder.index == memory_holder::not_listed)
    {
        holder.index = this->holders.size();
        this->holders.push_back(&holder);
    }
    else
    {
        this->subtract(holder.counted);
    }
    holder.counted = held;
    this->add(held);
    this->enforce(now);
}

void memory_budget::recount(memory_holder& holder, std::size_t bytes)
{
    const std::scoped_lock lock(this->mutex);
    this->held_bytes -= holder.counted.bytes;
    holder.counted.bytes = bytes;
    this->held_bytes += bytes;
}

void memory_budget::renew(memory_holder& holder)
{
    const std::scoped_lock lock(this->mutex);
    holder.has_released_memory = false;
    holder.has_closed_connection = false;
}

void memory_budget::remove(memory_holder& holder)
{
    const std::scoped_lock lock(this->mutex);
    if (holder.index == memory_holder::not_listed)
    {
        return;
    }
    this->subtract(holder.counted);
    memory_holder* const last = this->holders.back();
    this->holders[holder.index] = last;
    last->index = holder.index;
    this->holders.pop_back();
    holder.index = memory_holder::not_listed;
    ++this->removal_count;
}

std::size_t memory_budget::bytes() const
{
    const std::scoped_lock lock(this->mutex);
    return this->held_bytes;
}

std::size_t memory_budget::connections() const
{
    const std::scoped_lock lock(this->mutex);
    return this->held_connections;
}

std::uint64_t memory_budget::releases() const
{
    const std::scoped_lock lock(this->mutex);
    return this->release_count;
}

void memory_budget::add(const held_resources& held)
{
    this->held_bytes += held.bytes;
    this->held_connections += held.connections;
}

void memory_budget::subtract(const held_resources& held)
{
    this->held_bytes -= held.bytes;
    this->held_connections -= held.connections;
}

void memory_budget::enforce(time_point now)
{
    if (this->is_enforcing)
    {
        return; // Called by a holder that is being released.
    }
    this->is_enforcing = true;
    if (this->held_bytes > this->byte_limit)
    {
        this->recount_all();
    }
    if (this->held_bytes > this->byte_limit)
    {
        this->release_until(resource_shortage::memory,
                            this->byte_limit - this->byte_limit / free_part_divisor, now);
    }
    if (this->held_connections > this->connection_limit)
    {
        this->release_until(resource_shortage::connections, this->connection_limit, now);
    }
    this->is_enforcing = false;
}

void memory_budget::recount_all()
{
    // A holder only updates itself, which changes neither the list nor its order.
    for (memory_holder* const holder : this->holders)
    {
        holder->recount();
    }
}

void memory_budget::release_until(resource_shortage shortage, std::size_t target,
                                  time_point now)
{
    const std::size_t& held =
        shortage == resource_shortage::memory ? this->held_bytes : this->held_connections;
    // A release may remove other holders, so each round begins with those that are left.
    while (held > target)
    {
        const std::vector<memory_holder*> ordered = this->candidates(shortage, now);
        if (ordered.empty())
        {
            return;
        }
        for (memory_holder* const holder : ordered)
        {
            if (held <= target)
            {
                return;
            }
            const std::uint64_t removals = this->removal_count;
            this->release(*holder, shortage);
            if (this->removal_count != removals)
            {
                break;
            }
        }
    }
}

void memory_budget::release(memory_holder& holder, resource_shortage shortage)
{
    (shortage == resource_shortage::memory ? holder.has_released_memory
                                           : holder.has_closed_connection) = true;
    ++this->release_count;
    holder.release(shortage);
}

bool memory_budget::is_candidate(const memory_holder& holder,
                                 resource_shortage shortage) noexcept
{
    return shortage == resource_shortage::memory
               ? holder.counted.bytes > 0 && !holder.has_released_memory
               : holder.counted.connections > 0 && !holder.has_closed_connection;
}

/// Returns the holders that can be released, in that order.
std::vector<memory_holder*> memory_budget::candidates(resource_shortage shortage,
                                                      time_point now) const
{
    std::vector<release_rank> ranked;
    for (memory_holder* const holder : this->holders)
    {
        if (is_candidate(*holder, shortage))
        {
            const int kind = shortage == resource_shortage::connections
                                 ? -static_cast<int>(holder->counted.kind)
                                 : 0;
            ranked.push_back({kind, cost_of(holder->counted, now), holder});
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<memory_holder*> ordered;
    ordered.reserve(ranked.size());
    for (const release_rank& rank : ranked)
    {
        ordered.push_back(rank.holder);
    }
    return ordered;
}

memory_budget& process_memory_budget()
{
    // Never destroyed, since holders may outlive all other objects of static lifetime.
    static auto* const budget = new memory_budget;
    return *budget;
}

} // namespace agateseam
