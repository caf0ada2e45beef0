#include <agateseam/allowance.hpp>

#include <algorithm>
#include <cmath>

namespace agateseam
{

namespace
{

constexpr double units_per_token = 1'000;
constexpr double nanoseconds_per_second = 1e9;
constexpr int reserve_tries = 4;

/// Rounds up, so that a fraction is never handed out for nothing.
std::int64_t to_units(double tokens) noexcept
{
    const double limited = std::clamp(tokens, 0.0, allowance::burst_limit);
    return static_cast<std::int64_t>(std::ceil(limited * units_per_token));
}

double to_tokens(std::int64_t units) noexcept
{
    return static_cast<double>(units) / units_per_token;
}

} // namespace

result<std::unique_ptr<allowance>> allowance::create(const clock_source& time)
{
    return std::unique_ptr<allowance>(new allowance(time));
}

allowance::units allowance::slot::accrual(time_point now) const noexcept
{
    const auto passed =
        static_cast<double>(std::max(duration{0}, now - this->since).count());
    return this->accrued + static_cast<units>(passed * this->rate);
}

/// The level and what is reserved, together: never above the burst.
allowance::units allowance::slot::potential(time_point now) const noexcept
{
    return std::min(this->burst, this->accrual(now) - this->state->spent);
}

/// Lowers the potential; what had accrued beyond the burst is lost first.
void allowance::slot::spend(time_point now, units amount) const noexcept
{
    units seen = this->state->spent;
    units next = 0;
    do
    {
        next = std::max(seen, this->accrual(now) - this->burst) + amount;
    } while (!this->state->spent.compare_exchange_weak(seen, next));
}

/// Takes from what is reserved; never below nothing.
void allowance::slot::settle(units amount) const noexcept
{
    units seen = this->state->reserved;
    while (!this->state->reserved.compare_exchange_weak(
        seen, std::max<units>(0, seen - amount)))
    {
    }
}

allowance::slot allowance::renewed(const allowance_terms& terms, const slot* known) const
{
    slot next;
    next.since = this->time->now();
    next.rate = std::max(0.0, terms.rate) * units_per_token / nanoseconds_per_second;
    next.burst = to_units(terms.burst);
    if (known == nullptr)
    {
        next.state = std::make_shared<bucket>();
        next.accrued = terms.full ? next.burst : 0;
        return next;
    }
    next.state = known->state;
    next.accrued = known->accrual(next.since);
    return next;
}

void allowance::configure(std::span<const allowance_terms> terms)
{
    auto next = std::make_unique<table>();
    next->reserve(terms.size());
    {
        const auto current = this->slots.read();
        for (const allowance_terms& wanted : terms)
        {
            const slot* known = nullptr;
            if (current)
            {
                const auto found = current->find(wanted.workspace);
                known = found == current->end() ? nullptr : &found->second;
            }
            next->emplace(wanted.workspace, this->renewed(wanted, known));
        }
    }
    this->slots.publish(std::move(next));
    const auto current = this->slots.read();
    for (const auto& [name, each] : *current)
    {
        each.spend(this->time->now(), 0); // a smaller burst takes its surplus away now
    }
}

/// The order makes it safe: what is reserved is raised before `spent` is read, and
/// `deliver` raises `spent` before it lowers what is reserved, so that a token is seen
/// in at least one of the two.
admission_decision allowance::reserve(std::string_view workspace, double tokens)
{
    admission_decision decision;
    const auto current = this->slots.read();
    if (!current)
    {
        return decision;
    }
    const auto found = current->find(workspace);
    if (found == current->end())
    {
        return decision;
    }
    const slot& target = found->second;
    const units wanted = to_units(tokens);
    decision.limit = to_tokens(target.burst);
    units held = 0;
    units potential = 0;
    for (int turn = 0; turn < reserve_tries; ++turn)
    {
        held = target.state->reserved.fetch_add(wanted) + wanted;
        potential = target.potential(this->time->now());
        if (held <= potential)
        {
            decision.admitted = true;
            decision.remaining = to_tokens(potential - held);
            return decision;
        }
        held = target.state->reserved.fetch_sub(wanted);
        if (held > potential) // no concurrent attempt hid the room
        {
            break;
        }
    }
    held -= wanted;
    decision.remaining = std::max(0.0, to_tokens(potential - held));
    if (target.rate > 0)
    {
        const auto missing = static_cast<double>(held + wanted - potential);
        decision.retry_after =
            duration{std::max<duration::rep>(0, std::llround(missing / target.rate))};
    }
    return decision;
}

void allowance::deliver(std::string_view workspace, double tokens)
{
    const auto current = this->slots.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        const units amount = to_units(tokens);
        found->second.spend(this->time->now(), amount);
        found->second.settle(amount);
    }
}

void allowance::release(std::string_view workspace, double tokens)
{
    const auto current = this->slots.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        found->second.settle(to_units(tokens));
    }
}

void allowance::adopt(std::string_view workspace, double tokens)
{
    const auto current = this->slots.read();
    if (!current)
    {
        return;
    }
    const auto found = current->find(workspace);
    if (found != current->end())
    {
        const units amount = to_units(tokens);
        found->second.state->reserved += amount;
        found->second.state->spent -= amount;
    }
}

double allowance::level(std::string_view workspace) const
{
    const auto current = this->slots.read();
    if (!current)
    {
        return 0;
    }
    const auto found = current->find(workspace);
    if (found == current->end())
    {
        return 0;
    }
    const units potential = found->second.potential(this->time->now());
    return std::max(0.0, to_tokens(potential - found->second.state->reserved));
}

double allowance::outstanding(std::string_view workspace) const
{
    const auto current = this->slots.read();
    if (!current)
    {
        return 0;
    }
    const auto found = current->find(workspace);
    return found == current->end() ? 0 : to_tokens(found->second.state->reserved);
}

} // namespace agateseam
