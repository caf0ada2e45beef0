/// Admission by a fixed split: every entry has the same part of each workspace's
/// allowance. It is the baseline for benchmarks of shared allowances.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <agateseam/admission.hpp>
#include <agateseam/configuration.hpp>

namespace agateseam
{

/// \brief Splits rate and burst evenly over the entries.
///
/// \remarks Buckets begin empty, because an earlier process of this entry may have spent
/// their tokens just before. While the number of entries is unknown (0), nothing is
/// admitted.
class static_admission final : public admission
{
  public:
    /// \param time must outlive the object.
    /// \param entries how many entries share each allowance; 0 while it is unknown.
    [[nodiscard]] static result<std::unique_ptr<static_admission>>
    create(const clock_source& time, unsigned entries);

    /// \brief Applies the rates and bursts of a configuration.
    void configure(const configuration& current);

    /// \brief Splits again over another number of entries; with 0 nothing is admitted.
    void set_entries(unsigned count);

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

  private:
    struct bucket
    {
        double total_rate = 0;  ///< Of all entries together, in tokens per second.
        double total_burst = 0; ///< Of all entries together, in tokens.
        double rate = 0;        ///< Of this entry.
        double burst = 0;       ///< Of this entry.
        double level = 0;       ///< Tokens that can be reserved.
        double outstanding = 0; ///< Tokens reserved and not yet delivered or released.
        time_point last_refill;
    };

    static_admission(const clock_source& clock, unsigned count)
        : time(&clock)
        , entries(count)
    {
    }

    void refill(bucket& target) const;
    void apply_split(bucket& target) const;

    const clock_source* time;
    unsigned entries;
    std::mutex mutex;
    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace agateseam
