/// HTTP handlers of an entry for readiness and metrics.
#pragma once

#include <gateway/entry_state.hpp>

namespace agateseam
{

/// \brief Answers whether this entry accepts new connections.
class readiness_handler final : public caller_handler
{
  public:
    explicit readiness_handler(entry_state& entry)
        : state(&entry)
    {
    }

    task<void> handle(caller_exchange& exchange) override;

    [[nodiscard]] caller_limits limits() const override { return {}; }
    [[nodiscard]] bool closing() const override { return false; }
    void refused(int, std::string_view) override {}

  private:
    entry_state* state;
};

/// \brief Serves the metrics as Prometheus text.
class metrics_handler final : public caller_handler
{
  public:
    explicit metrics_handler(entry_state& entry)
        : state(&entry)
    {
    }

    task<void> handle(caller_exchange& exchange) override;

    [[nodiscard]] caller_limits limits() const override { return {}; }
    [[nodiscard]] bool closing() const override { return false; }
    void refused(int, std::string_view) override {}

  private:
    entry_state* state;
};

} // namespace agateseam
