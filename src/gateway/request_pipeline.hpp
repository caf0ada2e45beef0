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
    [[nodiscard]] bool closing() const override { return this->state->draining; }
    void refused(int status, std::string_view reason) override;

    /// \brief Returns the number of requests in progress.
    [[nodiscard]] std::size_t open_request_count() const noexcept
    {
        return this->open_requests.size();
    }

    /// \brief Logs the requests in progress, which end with the process.
    void log_cut_requests() const;

  private:
    task<void> serve(request_scope& scope);
    [[nodiscard]] std::optional<local_answer> authenticate(request_scope& scope) const;
    [[nodiscard]] std::optional<local_answer> admit(request_scope& scope);
    [[nodiscard]] bool ends_before_stop(request_scope& scope);
    void log_stop_decision(const request_scope& scope, bool accepted);
    void record_end(const request_scope& scope, time_point started_at);

    entry_state* state;
    std::unordered_set<const request_scope*> open_requests;
};

} // namespace agateseam
