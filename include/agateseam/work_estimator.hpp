/// Learns how long work takes at one backend server.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include <agateseam/clock.hpp>

namespace agateseam
{

/// \brief Moving averages of token gap, output length and lead; safe from any thread.
class work_estimator
{
  public:
    /// \brief Sets what is assumed before anything was observed.
    /// \param token_gap Between output tokens of one stream.
    /// \param lead_per_token Prefill and transfer, per prompt token.
    work_estimator(duration token_gap, duration lead_per_token) noexcept;

    /// \brief Notes an answer that came to its end.
    /// \param limit Most tokens that it could have had.
    /// \param tokens Tokens that it had, above 0.
    /// \param time From its first token to its last.
    void note_answer(std::uint32_t limit, std::uint32_t tokens, duration time) noexcept;

    /// \brief Notes a lead.
    /// \param tokens Prompt tokens, above 0.
    void note_lead(std::uint32_t tokens, duration time) noexcept;

    /// \brief Returns the time that a number of output tokens is thought to take.
    [[nodiscard]] duration output_time(double tokens) const noexcept;

    /// \brief Returns how many tokens an answer is thought to have, 1 at least.
    [[nodiscard]] double output_tokens(std::uint32_t limit) const noexcept
    {
        return this->remaining_tokens(limit, 0);
    }

    /// \brief Returns how many tokens are thought to follow, 1 at least.
    /// \param got Tokens that the answer has already.
    [[nodiscard]] double remaining_tokens(std::uint32_t limit, double got) const noexcept;

    /// \brief Returns how long prefill and transfer are thought to take.
    [[nodiscard]] duration lead(std::uint32_t tokens) const noexcept;

  private:
    static constexpr std::size_t share_count = 20;

    std::atomic<double> gap; ///< Nanoseconds a token.
    double first_lead_rate;  ///< Nanoseconds a token, before anything was noted.
    // Averages of the leads noted, in tokens and nanoseconds.
    std::atomic<double> lead_tokens{0};
    std::atomic<double> lead_time{0};
    std::atomic<double> lead_tokens_squared{0};
    std::atomic<double> lead_product{0};
    /// Answers by the share of their limit that they used.
    std::array<std::atomic<std::uint32_t>, share_count> shares{};
};

} // namespace agateseam
