/// Limits retries to a share of the requests, so that they cannot amplify an overload.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief A budget that requests add to and retries take from; thread-safe.
class retry_budget
{
  public:
    /// \param ratio retries that each request adds to the budget, from 0 to 1.
    /// \param max_saved most retries that the budget can hold, from 0; it starts full.
    [[nodiscard]] static result<std::unique_ptr<retry_budget>>
    create(double ratio, std::uint32_t max_saved);

    /// \brief Adds the share of one request to the budget.
    void record_request() noexcept;

    /// \brief Takes one retry from the budget.
    /// \returns false when the budget holds less than one retry.
    [[nodiscard]] bool try_take() noexcept;

  private:
    retry_budget(std::int64_t per_request, std::int64_t max_saved) noexcept
        : earned_per_request(per_request)
        , capacity(max_saved)
        , balance(max_saved)
    {
    }

    // All in thousandths of a retry.
    std::int64_t earned_per_request;
    std::int64_t capacity;
    std::atomic<std::int64_t> balance;
};

} // namespace agateseam
