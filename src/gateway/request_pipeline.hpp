/// Processes a caller's request: authenticates, routes and admits it, then calls its
/// service.
#pragma once

#include <unordered_set>

#include <gateway/entry_state.hpp>
#include <gateway/request_scope.hpp>

namespace agateseam
{

/// \brief Answers callers' requests.
class request_pipeline final : public caller_handler
{
  public:
    explicit request_pipeline(entry_state& entry)
        : state(&entry)
    {
    }

    task<void> handle(caller_exchange& exchange) override;
    [[nodiscard]] caller_limits limits() const override;
    [[nodiscard]] bool closing() const override { return this->state->draining(); }
    void refused(int status, std::string_view reason) override;

    /// \brief Returns the number of requests in progress.
    [[nodiscard]] std::size_t open_request_count() const noexcept
    {
        return this->open_requests.size();
    }

    /// \brief Logs the requests in progress, which the end of the process cuts.
    void log_cut_requests() const;

    /// \brief Moves the deadlines of all requests in progress to now, so that each is
    /// answered or visibly cut.
    /// \returns their number.
    std::size_t interrupt_open_requests();

    /// \brief Closes the connections of all requests in progress, so that no unfinished
    /// answer looks complete when the process ends.
    void abort_open_requests();

  private:
    task<void> serve(request_scope& scope);
    [[nodiscard]] std::optional<local_answer> authenticate(request_scope& scope) const;
    [[nodiscard]] std::optional<local_answer> admit(request_scope& scope);
    [[nodiscard]] bool may_claim_trial(const request_scope& scope,
                                       const part_block& block) const;
    task<void> claim_trial(request_scope& scope);
    [[nodiscard]] bool takes(const request_scope& scope);
    void record_end(const request_scope& scope, time_point started_at);

    entry_state* state;
    std::unordered_set<request_scope*> open_requests;
};

} // namespace agateseam
