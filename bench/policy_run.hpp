/// Runs agateseam's decision classes over modelled engines in virtual time.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include <bench/policy_model.hpp>

#include <agateseam/agent_scheduler.hpp>
#include <agateseam/cache_index.hpp>
#include <agateseam/placement.hpp>
#include <agateseam/work_estimator.hpp>

namespace agateseam::bench
{

/// \brief A request with the state of its current attempt.
struct live_request
{
    const traced_request* trace = nullptr;
    request_outcome* outcome = nullptr;
    std::uint32_t entry = 0;
    std::uint32_t attempt = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    std::uint32_t delivered = 0; ///< Output tokens that the caller has received.
    /// Output tokens delivered by earlier attempts.
    std::uint32_t delivered_before_attempt = 0;
    bool open = true;
    double computed = 0; ///< Prefill tokens of this attempt that no decode has used yet.
    double granted_at = 0;       ///< Time at which the decode slot was granted.
    double prefill_ended_at = 0; ///< Time at which the prefill's result was ready.
    /// Time of the attempt's first token; below 0 before the transfer.
    double decode_began_at = -1;
    std::vector<std::string> excluded;
    std::string last_refusal;
};

/// \brief An agent with its engine, scheduler and estimator.
struct modelled_agent
{
    std::string vm;
    std::uint32_t domain = 0;
    backend_kind kind = backend_kind::prefill;
    agent_scheduler scheduler;
    std::unique_ptr<work_estimator> estimator;
    prefill_model engine;
    cache_index index;
    std::uint64_t cache_sequence = 0;
    std::uint64_t report_sequence = 0;
    double next_wake_at = -1;
    bool lost = false;
    std::map<attempt_id, std::uint64_t> owners; ///< Request numbers by attempt.
};

/// \brief An entry with its view of the agents.
struct modelled_entry
{
    std::uint32_t domain = 0;
    std::unique_ptr<placement> placer;
    member_list members;
    /// VM of the prefill agent by session.
    std::map<std::uint64_t, std::string> sessions;
    bool silent = false;
    bool lost = false;
};

/// \brief One run with its callers, entries, agents and engines.
class policy_run
{
  public:
    policy_run(const scenario& run_plan, const std::vector<traced_request>& requests,
               const policy_features& enabled_features, std::uint64_t seed);

    [[nodiscard]] run_outcome run();

  private:
    // Work of an entry.
    void arrive(const traced_request& request);
    void attempt(live_request& request);
    void handle_refusal(live_request& request, const std::string& reason,
                        const std::string& vm);
    void heartbeat();
    void renew_leases();
    void report_to(std::uint32_t entry, std::uint32_t agent);
    void report_if_piggybacked(std::uint32_t entry, std::uint32_t agent);
    void prefer_session(placement_choice& choice, modelled_entry& entry,
                        const live_request& request) const;

    // Work of a decode agent.
    void submit_decode(live_request& request, std::uint32_t attempt);
    void start_prefill(live_request& request);
    void handle_prefill_answer(live_request& request, std::uint32_t attempt);
    void start_transfer(live_request& request);
    void finish(live_request& request, std::uint32_t attempt);
    void update_remaining_use();
    void handle_decode_event(std::uint32_t agent, const slot_event& event);

    // Work of a prefill agent.
    void submit_prefill(live_request& request, std::uint32_t attempt);
    void handle_prefill_refusal(live_request& request);
    void run_prefill(live_request& request);
    void handle_prefill_event(std::uint32_t agent, const slot_event& event);

    // Work of both kinds of agent.
    void advance_scheduler(std::uint32_t agent);
    void fail_agent(std::uint32_t agent);
    void list_as_leaving(std::uint32_t agent);
    void record_waste(live_request& request);
    void release_slot(std::uint32_t agent, const live_request& request, double used);
    [[nodiscard]] live_request* find_request(std::uint32_t agent, const attempt_id& id);
    [[nodiscard]] static attempt_id attempt_id_of(const live_request& request);
    [[nodiscard]] double latest_start(const live_request& request) const;
    [[nodiscard]] double transfer_time(const live_request& request) const;
    [[nodiscard]] std::uint32_t cached_blocks(const live_request& request) const;
    [[nodiscard]] double delay(std::uint32_t left, std::uint32_t right) const;
    [[nodiscard]] time_point to_time_point(double when) const;

    const scenario* plan;
    const std::vector<traced_request>* trace;
    policy_features features;
    event_queue events;
    std::vector<modelled_agent> agents; ///< Prefill agents, then decode agents.
    std::vector<modelled_entry> entries;
    std::map<std::uint64_t, live_request> live_requests; ///< By request number.
    run_outcome outcome;
};

} // namespace agateseam::bench
