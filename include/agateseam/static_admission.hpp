/// The baseline: every entry holds the same fixed share of each workspace's allowance.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <agateseam/admission.hpp>
#include <agateseam/configuration.hpp>

namespace agateseam
{

/// \brief Splits rate and burst evenly over a fixed number of entries.
class static_admission final : public admission
{
  public:
    /// \param time must outlive the object.
    /// \param entries how many entries share each allowance; at least 1.
    [[nodiscard]] static result<std::unique_ptr<static_admission>>
    create(const clock_source& time, unsigned entries);

    /// \brief Takes over the rates and bursts of a configuration.
    void configure(const configuration& current);

    [[nodiscard]] admission_decision reserve(std::string_view workspace,
                                             double tokens) override;
    void deliver(std::string_view workspace, double tokens) override;
    void release(std::string_view workspace, double tokens) override;

  private:
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        double outstanding = 0;
        time_point filled;
    };

    static_admission(const clock_source& clock, unsigned split)
        : time(&clock)
        , entries(split)
    {
    }

    void refill(bucket& target) const;

    const clock_source* time;
    unsigned entries;
    std::mutex mutex;
    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace agateseam
