/// The baseline: every entry holds the same share of each workspace's allowance.
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
/// \remarks Buckets begin empty, because a predecessor may have spent their tokens just
/// before. While the number of entries is unknown (0), nothing is admitted.
class static_admission final : public admission
{
  public:
    /// \param time must outlive the object.
    /// \param entries how many entries share each allowance; 0 while it is unknown.
    [[nodiscard]] static result<std::unique_ptr<static_admission>>
    create(const clock_source& time, unsigned entries);

    /// \brief Takes over the rates and bursts of a configuration.
    void configure(const configuration& current);

    /// \brief Splits anew over another number of entries; 0 admits nothing.
    void set_entries(unsigned count);

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

  private:
    struct bucket
    {
        double whole_rate = 0;  ///< Of all entries together.
        double whole_burst = 0; ///< Of all entries together.
        double rate = 0;
        double burst = 0;
        double level = 0;
        double outstanding = 0;
        time_point filled;
    };

    static_admission(const clock_source& clock, unsigned count)
        : time(&clock)
        , entries(count)
    {
    }

    void refill(bucket& target) const;
    void split(bucket& target) const;

    const clock_source* time;
    unsigned entries;
    std::mutex mutex;
    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace agateseam
