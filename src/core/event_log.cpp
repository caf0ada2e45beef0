#include <agateseam/event_log.hpp>

#include <algorithm>
#include <bit>
#include <cstring>
#include <thread>

namespace agateseam
{

namespace
{

/// Text of a limited size that is stored without an allocation; longer text is truncated.
template <std::size_t Size>
struct bounded_text
{
    std::uint8_t length = 0;
    char characters[Size];

    void set(std::string_view text) noexcept
    {
        this->length = static_cast<std::uint8_t>(std::min(text.size(), Size));
        std::copy_n(text.data(), this->length, this->characters);
    }

    [[nodiscard]] std::string text() const { return {this->characters, this->length}; }
};

} // namespace

struct event_log::slot
{
    /// Set while a thread reads or writes the slot.
    std::atomic_flag busy = ATOMIC_FLAG_INIT;
    std::uint64_t sequence = 0;
    hybrid_time stamp;
    std::int64_t value = 0;
    std::uint32_t attempt = 0;
    event_kind kind = event_kind::admitted;
    bounded_text<max_request_id_length> request;
    bounded_text<max_text_length> workspace;
    bounded_text<max_text_length> peer;
    bounded_text<max_text_length> detail;

    [[nodiscard]] event copy(const std::string& process_name) const
    {
        return {this->sequence,       this->stamp,
                this->kind,           this->attempt,
                this->value,          process_name,
                this->request.text(), this->workspace.text(),
                this->peer.text(),    this->detail.text()};
    }
};

event_log::event_log(std::string process_name, hybrid_clock& stamp_clock,
                     std::size_t capacity)
    : process(std::move(process_name))
    , clock(&stamp_clock)
    , mask(std::bit_ceil(std::max<std::size_t>(capacity, 2)) - 1)
    , slots(std::make_unique<slot[]>(this->mask + 1))
{
}

event_log::~event_log() = default;

void event_log::add(const event_view& view) noexcept
{
    const std::uint64_t sequence =
        this->last_sequence.fetch_add(1, std::memory_order_relaxed) + 1;
    slot& target = this->slots[sequence & this->mask];
    if (target.busy.test_and_set(std::memory_order_acquire))
    {
        this->dropped_count.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    if (target.sequence < sequence)
    {
        target.sequence = sequence;
        target.stamp = this->clock->tick();
        target.value = view.value;
        target.attempt = view.attempt;
        target.kind = view.kind;
        target.request.set(view.request);
        target.workspace.set(view.workspace);
        target.peer.set(view.peer);
        target.detail.set(view.detail);
    }
    target.busy.clear(std::memory_order_release);
}

std::vector<event> event_log::after(std::uint64_t sequence, std::size_t limit) const
{
    const std::uint64_t newest = this->last_sequence.load(std::memory_order_acquire);
    const std::uint64_t slot_count = this->mask + 1;
    std::uint64_t next_sequence =
        std::max(sequence, newest > slot_count ? newest - slot_count : 0) + 1;
    std::vector<event> events;
    for (; next_sequence <= newest && events.size() < limit; ++next_sequence)
    {
        slot& source = this->slots[next_sequence & this->mask];
        while (source.busy.test_and_set(std::memory_order_acquire))
        {
            std::this_thread::yield();
        }
        if (source.sequence == next_sequence)
        {
            events.push_back(source.copy(this->process));
        }
        source.busy.clear(std::memory_order_release);
    }
    return events;
}

std::uint64_t event_log::added() const noexcept
{
    return this->last_sequence.load(std::memory_order_relaxed);
}

std::uint64_t event_log::dropped() const noexcept
{
    return this->dropped_count.load(std::memory_order_relaxed);
}

std::size_t event_log::bytes() const noexcept
{
    return (this->mask + 1) * sizeof(slot);
}

} // namespace agateseam
