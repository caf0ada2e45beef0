/// Estimates how long work takes at one backend server from the work that it has done.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief Learns the time per output token, the length of outputs and the time of prefill
/// and transfer; thread-safe.
class work_estimator
{
  public:
    /// \brief Sets what is assumed before anything was observed.
    /// \param token_gap Time between output tokens of one stream.
    /// \param initial_time_per_prompt_token Time of prefill and transfer.
    work_estimator(duration token_gap, duration initial_time_per_prompt_token) noexcept;

    /// \brief Records an answer that came to its end.
    /// \param limit Most tokens that it could have had.
    /// \param tokens Tokens that it had, above 0.
    /// \param time From its first token to its last.
    void record_answer(std::uint32_t limit, std::uint32_t tokens, duration time) noexcept;

    /// \brief Records how long prefill and transfer of a prompt took.
    /// \param prompt_tokens Above 0.
    void record_prefill_and_transfer(std::uint32_t prompt_tokens, duration time) noexcept;

    /// \brief Returns the expected time of a number of output tokens.
    [[nodiscard]] duration output_time(double tokens) const noexcept;

    /// \brief Returns the expected number of tokens of an answer, 1 at least.
    [[nodiscard]] double output_tokens(std::uint32_t limit) const noexcept
    {
        return this->remaining_tokens(limit, 0);
    }

    /// \brief Returns the expected number of further tokens of an answer, 1 at least.
    /// \param received Tokens that the answer has already.
    [[nodiscard]] double remaining_tokens(std::uint32_t limit,
                                          double received) const noexcept;

    /// \brief Returns the expected time of prefill and transfer.
    [[nodiscard]] duration
    prefill_and_transfer_time(std::uint32_t prompt_tokens) const noexcept;

  private:
    static constexpr std::size_t histogram_size = 20;

    std::atomic<double> ns_per_output_token;
    double initial_ns_per_prompt_token; ///< Used before any prefill was recorded.
    // Moving averages for the least-squares line of prefill and transfer times.
    std::atomic<double> mean_prompt_tokens{0};
    std::atomic<double> mean_prefill_ns{0};
    std::atomic<double> mean_prompt_tokens_squared{0};
    std::atomic<double> mean_tokens_times_ns{0};
    /// Number of answers by the share of their limit that they used.
    std::array<std::atomic<std::uint32_t>, histogram_size> used_share_histogram{};
};

} // namespace agateseam
