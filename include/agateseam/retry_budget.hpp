/// Keeps retries a bounded share of the requests, so that they cannot feed an overload.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include <agateseam/error.hpp>

namespace agateseam
{

/// \brief A budget that requests fill and retries use up; safe from any thread.
class retry_budget
{
  public:
    /// \param ratio retries that each request earns, from 0 to 1.
    /// \param most retries that may be saved up, from 0; the budget begins full.
    [[nodiscard]] static result<std::unique_ptr<retry_budget>> create(double ratio,
                                                                      std::uint32_t most);

    /// \brief Counts one request.
    void earn() noexcept;

    /// \brief Takes one retry, if there is one.
    [[nodiscard]] bool take() noexcept;

  private:
    retry_budget(std::int64_t each, std::int64_t most) noexcept
        : earned(each)
        , limit(most)
        , level(most)
    {
    }

    std::int64_t earned; ///< In thousandths of a retry, as all here.
    std::int64_t limit;
    std::atomic<std::int64_t> level;
};

} // namespace agateseam
