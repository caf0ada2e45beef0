/// The agents that an entry may send work to, and the newest load report of each.
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

/// \brief One agent: its fixed identity, and load figures that are updated in place.
///
/// \remarks The load figures are as old as the newest report; `sent_since_report` and
/// `sent_tokens_since_report` count what this process has sent to the agent since then.
struct member
{
    std::string vm;
    std::string address; ///< "IP:port".
    std::string failure_domain;

    /// Whether the agent has reported; only then `kind` and `pool` are valid.
    std::atomic<bool> has_reported{false};
    backend_kind kind = backend_kind::service;
    std::string pool;

    /// Whether the agent's report or the platform's VM list says that it is leaving.
    std::atomic<bool> leaving{false};
    /// Whether the platform's VM list says that it is leaving.
    std::atomic<bool> leaving_in_vm_list{false};
    std::atomic<bool> silent{false}; ///< Whether the heartbeat is overdue.
    std::atomic<std::uint32_t> slots{0};
    std::atomic<std::uint32_t> used{0};
    std::atomic<std::uint32_t> queued{0};
    std::atomic<std::uint64_t> queued_tokens{0};
    std::atomic<double> tokens_per_second{0};
    std::atomic<std::uint32_t> sent_since_report{0};
    std::atomic<std::uint64_t> sent_tokens_since_report{0};
    std::atomic<std::uint64_t> incarnation{0};
    std::atomic<std::uint64_t> sequence{0};
    /// The digest of a prefill engine's cache; null until the first digest arrives.
    published<cache_digest> cache;
    /// Monotonic time of the newest report.
    std::atomic<duration::rep> last_report_at{0};

    /// \brief Applies a report unless the same one or a newer one was applied before.
    /// \returns whether the report was applied.
    bool apply_report(const load_report& report, time_point now);

    /// \brief Tells whether new work may be sent to the agent.
    [[nodiscard]] bool usable() const noexcept
    {
        return this->has_reported && !this->leaving && !this->silent;
    }
};

/// \brief A snapshot of the member list; snapshots share the member records.
struct member_list
{
    std::vector<std::shared_ptr<member>> all;
};

} // namespace agateseam
