/// Counts what servers get of one request, and which part of it the repeat budget pays
/// for.
#pragma once

#include <cstdint>

namespace agateseam
{

/// \brief The arrivals of one request at servers.
///
/// The first arrival is free, each later one takes a repeat from the fleet's budget. The
/// first prefill that a server accepts is no arrival; one that is refused, or whose
/// outcome isn't known, is. Whether a prefill counts is known only afterwards, so a
/// repeat that was taken before it also covers what is sent next.
class request_arrivals
{
  public:
    /// \brief Tells whether the next arrival is the first, or paid for.
    [[nodiscard]] bool is_covered() const noexcept
    {
        return this->counted <= this->repeats;
    }

    /// \brief Tells whether anything was sent that counts.
    [[nodiscard]] bool any() const noexcept { return this->counted > 0; }

    /// \brief Returns how many arrivals count.
    [[nodiscard]] std::uint32_t count() const noexcept { return this->counted; }

    /// \brief Returns how many repeats were taken and not returned.
    [[nodiscard]] std::uint32_t repeats_taken() const noexcept { return this->repeats; }

    /// \brief Records a repeat that was taken from the budget.
    void add_repeat() noexcept { ++this->repeats; }

    /// \brief Gives back a repeat if nothing that was sent uses one of them.
    /// \returns whether there was one.
    [[nodiscard]] bool remove_unused_repeat() noexcept
    {
        const bool is_unused = this->repeats > this->counted;
        this->repeats -= is_unused ? 1 : 0;
        return is_unused;
    }

    /// \brief Gives back a repeat that none of what was sent has used. Nothing that was
    /// taken for a further arrival may be about to be sent.
    /// \returns whether there was one.
    [[nodiscard]] bool remove_spare_repeat() noexcept
    {
        const std::uint32_t used = this->counted > 0 ? this->counted - 1 : 0;
        const bool is_spare = this->repeats > used;
        this->repeats -= is_spare ? 1 : 0;
        return is_spare;
    }

    /// \brief Records a request that was sent to be run, whatever became of it.
    void record_run() noexcept { ++this->counted; }

    /// \brief Records a prefill that was sent.
    void record_prefill(bool is_accepted) noexcept
    {
        if (is_accepted && !this->has_prefill)
        {
            this->has_prefill = true;
            return;
        }
        ++this->counted;
    }

  private:
    std::uint32_t counted = 0;
    std::uint32_t repeats = 0;
    bool has_prefill = false;
};

} // namespace agateseam
