/// The agents that an entry may send work to, and what it last heard of each.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <agateseam/cache_digest.hpp>
#include <agateseam/clock.hpp>
#include <agateseam/published.hpp>
#include <agateseam/request.hpp>

namespace agateseam
{

/// \brief One agent: a fixed identity and load figures that change in place.
///
/// \remarks Loads are lagged: `sent` counts what this process sent since the newest
/// report.
struct member
{
    std::string vm;
    std::string address; ///< "IP:port".
    std::string failure_domain;

    std::atomic<bool> known{
        false}; ///< Whether the agent has reported; kind and pool valid.
    backend_kind kind = backend_kind::service;
    std::string pool;

    std::atomic<bool> leaving{false};        ///< By its own word or the platform's.
    std::atomic<bool> listed_leaving{false}; ///< By the platform's list.
    std::atomic<bool> silent{false};         ///< No heartbeat for too long.
    std::atomic<std::uint32_t> slots{0};
    std::atomic<std::uint32_t> used{0};
    std::atomic<std::uint32_t> queued{0};
    std::atomic<std::uint64_t> queued_tokens{0};
    std::atomic<double> tokens_per_second{0};
    std::atomic<std::uint32_t> sent{0};
    std::atomic<std::uint64_t> sent_tokens{0};
    std::atomic<std::uint64_t> incarnation{0};
    std::atomic<std::uint64_t> sequence{0};
    published<cache_digest>
        cache; ///< Of a prefill engine's cache; null before the first.
    std::atomic<duration::rep> heard{0}; ///< Monotonic time of the newest report.

    /// \brief Takes over a report unless a newer one is known.
    /// \returns whether the report was newer.
    bool take(const load_report& report, time_point now);

    /// \brief Tells whether new work may go there.
    [[nodiscard]] bool usable() const noexcept
    {
        return this->known && !this->leaving && !this->silent;
    }
};

/// \brief A snapshot of the members; the records are shared between snapshots.
struct member_list
{
    std::vector<std::shared_ptr<member>> all;
};

} // namespace agateseam
