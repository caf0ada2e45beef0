/// Token buckets that keep each workspace within its rate and burst. Requests use them
/// without taking a lock.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include <agateseam/admission.hpp>
#include <agateseam/error.hpp>
#include <agateseam/impl/name_hash.hpp>
#include <agateseam/published.hpp>

namespace agateseam
{

/// \brief The rate and burst of one workspace's allowance.
struct allowance_limits
{
    std::string workspace;
    double rate = 0;          ///< Tokens per second.
    double burst = 0;         ///< Tokens.
    bool starts_full = false; ///< Whether a new bucket begins full; set it only where no
                              ///< token can have been spent before.
};

/// \brief One token bucket for each workspace.
///
/// For every workspace and every window [s, t] this inequality holds:
///
///     tokens delivered in [s, t] <= rate * (t - s) + burst
///
/// A token may be delivered at any time between the return of the `reserve` that reserved
/// it and the return of the `deliver` that counts it. The inequality also holds for
/// tokens that are reserved early and delivered late all at once, because reserved tokens
/// stay part of the burst until they are counted: the level refills only up to burst -
/// outstanding.
///
/// \remarks A bucket begins empty unless its limits say otherwise. When the rate changes,
/// rate * (t - s) becomes the sum over the rates in force. When the burst changes, the
/// inequality uses the greatest burst that was in force since the oldest reservation of
/// which a part was delivered in the window: tokens reserved under a greater burst may
/// still be delivered. Bursts are capped at `max_burst`.
class token_buckets final : public admission
{
  public:
    /// The maximum burst, in tokens.
    static constexpr double max_burst = 1e12;

    /// \param time must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<token_buckets>>
    create(const clock_source& time);

    ~token_buckets() override = default;

    /// \brief Replaces the limits of all workspaces; one that stays keeps its bucket.
    /// \remarks Waits for readers: call it from a controller's thread, one at a time.
    void configure(std::span<const allowance_limits> limits);

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

    /// \brief Adds tokens that were reserved from an earlier bucket which is lost.
    /// \remarks They count as outstanding, and the level stays as it was.
    void add_outstanding(std::string_view workspace, double tokens);

    /// \brief Returns the tokens that could be reserved at once.
    [[nodiscard]] double level(std::string_view workspace) const;

    /// \brief Returns the tokens that are reserved and not yet delivered or released.
    [[nodiscard]] double outstanding(std::string_view workspace) const;

  private:
    /// Amounts are counted in thousandths of a token, so that sums are exact.
    using millitokens = std::int64_t;

    struct bucket_counters
    {
        std::atomic<millitokens> spent{0};    ///< Accrued tokens that were delivered, or
                                              ///< lost because the bucket was full.
        std::atomic<millitokens> reserved{0}; ///< Not yet delivered or released.
    };

    /// A bucket's counters with its limits; at `accrual_start` it had accrued
    /// `accrued_before`, and since then it accrues at `rate`.
    struct configured_bucket
    {
        std::shared_ptr<bucket_counters> counters;
        double rate = 0; ///< Millitokens per nanosecond.
        millitokens burst = 0;
        millitokens accrued_before = 0;
        time_point accrual_start;

        [[nodiscard]] millitokens accrued(time_point now) const noexcept;
        [[nodiscard]] millitokens unspent(time_point now) const noexcept;
        void spend(time_point now, millitokens amount) const noexcept;
        void subtract_reserved(millitokens amount) const noexcept;
    };

    using table = std::unordered_map<std::string, configured_bucket, impl::name_hash,
                                     std::equal_to<>>;

    explicit token_buckets(const clock_source& clock)
        : time(&clock)
    {
    }

    [[nodiscard]] configured_bucket make_bucket(const allowance_limits& limits,
                                                const configured_bucket* existing) const;

    const clock_source* time;
    published<table> buckets;
};

} // namespace agateseam
