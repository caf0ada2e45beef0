/// State that the parts of an entry share, such as the blackboard, the decision makers
/// and the clients.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <agateseam/api_key.hpp>
#include <agateseam/claim_ledger.hpp>
#include <agateseam/config_store.hpp>
#include <agateseam/member.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/placement.hpp>
#include <agateseam/published.hpp>
#include <agateseam/retry_budget.hpp>
#include <agateseam/store_budget.hpp>
#include <daemon/config_peers.hpp>
#include <daemon/key_watch.hpp>
#include <daemon/messages.hpp>
#include <daemon/open_attempts.hpp>
#include <daemon/path_counters.hpp>
#include <daemon/settings.hpp>
#include <daemon/share_controller.hpp>
#include <daemon/telemetry.hpp>
#include <net/http_client.hpp>

namespace agateseam
{

/// \brief The owner of a key. It points into the configuration of the same view.
struct key_owner
{
    const std::string* workspace = nullptr;
    const key_record* record = nullptr;
};

/// \brief A configuration with an index of its keys for requests.
struct configuration_view
{
    configuration current;
    std::string document; ///< The JSON text of the configuration.
    std::unordered_map<std::string_view, key_owner> keys; ///< By key id.

    [[nodiscard]] static std::unique_ptr<const configuration_view>
    create(configuration taken, std::string document);
};

/// \brief The blackboard, which controllers publish to and requests read.
struct entry_board
{
    published<configuration_view> config;
    published<member_list> members;
};

/// \brief Holds the state of one entry and outlives all its requests.
class entry_context
{
  public:
    [[nodiscard]] static result<std::unique_ptr<entry_context>>
    create(const daemon_settings& settings);

    /// \brief Returns an id that is unique over all processes and their earlier runs.
    [[nodiscard]] std::string next_request_id();

    /// \brief Authenticates a request by its key.
    /// \returns the name of the key's workspace, or `unauthorized` without a valid key.
    [[nodiscard]] result<std::string> authenticate(const http_request& request) const;

    /// \brief Returns a flag that changes when the key of an authenticated request is
    /// withdrawn.
    [[nodiscard]] key_flag watch_key(const http_request& request);

    /// \brief Tells whether requests may be admitted under the configuration in force.
    [[nodiscard]] bool may_admit() const noexcept;

    /// \brief Tells whether a request carries the fleet secret or the operator token.
    [[nodiscard]] bool trusted(const http_request& request) const;

    /// \brief Returns the gauges of this entry for the metrics page.
    [[nodiscard]] process_gauges gauges() const;

    /// \brief Applies the load report in the headers of an agent's answer.
    void apply_load_header(const std::vector<http_header>& head);

    daemon_settings settings;
    steady_clock_source time;
    entry_board board;
    std::unique_ptr<process_telemetry> telemetry;
    std::unique_ptr<http_client> client;
    std::unique_ptr<object_store> platform; ///< Without the call budget; use `store`.
    std::unique_ptr<budgeted_store> store;
    std::unique_ptr<claim_ledger> claims;
    std::unique_ptr<config_store> configs; ///< Used only by the operator thread.
    std::unique_ptr<config_relay> relay;
    std::unique_ptr<config_peers> peers;
    key_watch keys;
    std::unique_ptr<share_controller> allowance;
    std::unique_ptr<placement> placer;
    std::unique_ptr<retry_budget> retries;
    open_attempts attempts;
    path_counters counters;
    /// Monotonic time until which requests may be admitted; 0 before the first check.
    std::atomic<duration::rep> admit_until{0};
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> requests_in_progress{0};

  private:
    entry_context() = default;

    std::uint64_t incarnation = 0;
    std::atomic<std::uint64_t> requests{0};
};

/// \brief Serves a caller's request to a model.
void start_model_request(entry_context& context, std::shared_ptr<http_exchange> exchange);

/// \brief Serves a caller's request to the plain service that its route names.
void start_service_request(entry_context& context,
                           std::shared_ptr<http_exchange> exchange);

/// \brief Serves an operator's request.
void serve_operator(entry_context& context, std::shared_ptr<http_exchange> exchange);

} // namespace agateseam
