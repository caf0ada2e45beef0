/// Buckets that keep each workspace within its rate and burst, without a lock on the path
/// of a request.
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

/// \brief What one workspace may receive.
struct allowance_terms
{
    std::string workspace;
    double rate = 0;   ///< Tokens per second.
    double burst = 0;  ///< Tokens.
    bool full = false; ///< Whether a new bucket begins full; only where nothing can have
                       ///< been spent before.
};

/// \brief One bucket for each workspace.
///
/// The inequality that is kept, for every workspace and every window [s, t]:
///
///     tokens delivered in [s, t] <= rate * (t - s) + burst
///
/// where a token may be delivered at any time between the return of the `reserve` that
/// set it aside and the return of the `deliver` that counts it. It holds for tokens that
/// are reserved early and delivered late in a bunch, because reserved tokens stay inside
/// the burst until they are counted: the level refills only up to burst - outstanding.
///
/// \remarks A bucket begins empty unless its terms say otherwise. When the rate changes,
/// rate * (t - s) becomes the sum over the rates in force. When the burst changes, the
/// greatest counts that was in force since the oldest reservation of which something was
/// delivered in the window: what was reserved under a greater burst may still be
/// delivered. Bursts are capped at `burst_limit`.
class allowance final : public admission
{
  public:
    /// The greatest burst, in tokens.
    static constexpr double burst_limit = 1e12;

    /// \param time must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<allowance>>
    create(const clock_source& time);

    ~allowance() override = default;

    /// \brief Replaces all terms; a workspace that stays keeps its bucket.
    /// \remarks Waits for readers: call from a controller's thread, one at a time.
    void configure(std::span<const allowance_terms> terms);

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

    /// \brief Takes over tokens that were reserved from a bucket that is lost.
    /// \remarks They count as outstanding, and the level stays as it was.
    void adopt(std::string_view workspace, double tokens);

    /// \brief Returns the tokens that could be reserved at once.
    [[nodiscard]] double level(std::string_view workspace) const;

    /// \brief Returns the tokens that are reserved and not yet delivered or released.
    [[nodiscard]] double outstanding(std::string_view workspace) const;

  private:
    /// Thousandths of a token, so that sums are exact.
    using units = std::int64_t;

    struct bucket
    {
        std::atomic<units> spent{0};    ///< Accrual that was delivered or lost.
        std::atomic<units> reserved{0}; ///< Reserved and not yet settled.
    };

    /// A bucket with its terms; accrual goes on from `accrued` at `since`.
    struct slot
    {
        std::shared_ptr<bucket> state;
        double rate = 0; ///< Units per nanosecond.
        units burst = 0;
        units accrued = 0;
        time_point since;

        [[nodiscard]] units accrual(time_point now) const noexcept;
        [[nodiscard]] units potential(time_point now) const noexcept;
        void spend(time_point now, units amount) const noexcept;
        void settle(units amount) const noexcept;
    };

    using table = std::unordered_map<std::string, slot, impl::name_hash, std::equal_to<>>;

    explicit allowance(const clock_source& clock)
        : time(&clock)
    {
    }

    [[nodiscard]] slot renewed(const allowance_terms& terms, const slot* known) const;

    const clock_source* time;
    published<table> slots;
};

} // namespace agateseam
