/// Bounds what one process asks of the platform's store: a rate, and a circuit breaker.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <agateseam/clock.hpp>
#include <agateseam/object_store.hpp>

namespace agateseam
{

/// What a call does to the store; each kind has its own budget and breaker.
enum class store_call : std::uint8_t
{
    read, ///< get, list, vms.
    write,
    watch
};

/// Number of kinds.
inline constexpr std::size_t store_call_kinds = 3;

/// \brief Returns "read", "write" or "watch".
[[nodiscard]] std::string_view to_string(store_call kind) noexcept;

/// \brief The rate of one kind.
struct store_rate
{
    double per_second = 0;
    double burst = 0; ///< Calls at once after a rest.
};

/// \brief Budgets and the breaker of one process.
struct store_budget_options
{
    store_rate reads{200, 1'000};
    store_rate writes{100, 1'000};
    store_rate watches{20, 20};
    unsigned failures = 5; ///< In a row, of one kind, that open its breaker.
    duration first_pause = std::chrono::milliseconds(100);
    duration longest_pause = std::chrono::seconds(2);
    std::uint64_t seed = 1; ///< Of the pauses' jitter.
};

/// \brief Calls of one kind since the start; read from any thread.
struct store_call_counts
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> failed{0};      ///< Of those sent: refused or unanswered.
    std::atomic<std::uint64_t> over_budget{0}; ///< Not sent.
    std::atomic<std::uint64_t> held_back{0};   ///< Not sent: the breaker was open.
};

/// \brief An object store that another one stands behind.
///
/// A call over the budget, or while the breaker is open, ends as `unavailable` at once
/// and was not sent. A breaker opens after failures in a row, lets one call through after
/// a pause, and doubles the pause (with jitter, so that processes do not return together)
/// until one succeeds. `conflict` and `not_found` are answers, not failures.
class budgeted_store : public object_store
{
  public:
    /// \param inner, clock must outlive the result.
    [[nodiscard]] static result<std::unique_ptr<budgeted_store>>
    create(object_store& inner, const clock_source& clock,
           const store_budget_options& options);

    [[nodiscard]] virtual const store_call_counts&
    counts(store_call kind) const noexcept = 0;
};

/// \brief Returns the counts as Prometheus text.
[[nodiscard]] std::string to_metrics(const budgeted_store& store);

} // namespace agateseam
