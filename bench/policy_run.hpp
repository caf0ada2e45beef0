/// One run of the project's decision classes over modelled engines in virtual time.
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

/// \brief A request under way, with its attempts.
struct live_request
{
    const traced_request* trace = nullptr;
    request_outcome* outcome = nullptr;
    std::uint32_t entry = 0;
    std::uint32_t attempt = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    std::uint32_t delivered = 0; ///< Output tokens that the caller has.
    std::uint32_t resumed = 0;   ///< Of them, before this attempt.
    bool open = true;
    double computed = 0;      ///< Prefill tokens of this attempt, not decoded from yet.
    double lead_begin = 0;    ///< When the slot was granted.
    double prefill_end = 0;   ///< When its result was ready.
    double decode_begin = -1; ///< When its first token was due; below 0 before.
    std::vector<std::string> excluded;
    std::string last_refusal;
};

/// \brief An agent with its engine.
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
    double next_wake = -1;
    bool lost = false;
    std::map<attempt_id, std::uint64_t> owners; ///< Request numbers by attempt.
};

/// \brief An entry with its view of the agents.
struct modelled_entry
{
    std::uint32_t domain = 0;
    std::unique_ptr<placement> placer;
    member_list members;
    std::map<std::uint64_t, std::string> sessions; ///< VM of the prefill agent.
    bool silent = false;
    bool lost = false;
};

/// \brief The run: callers, entries, agents and engines.
class policy_run
{
  public:
    policy_run(const scenario& chosen, const std::vector<traced_request>& requests,
               const policy_features& wanted, std::uint64_t seed);

    [[nodiscard]] run_outcome run();

  private:
    // The entry's part.
    void arrive(const traced_request& request);
    void attempt(live_request& request);
    void refused(live_request& request, const std::string& reason, const std::string& vm);
    void heartbeat();
    void renew();
    void report_to(std::uint32_t entry, std::uint32_t agent);
    void report_if_piggybacked(std::uint32_t entry, std::uint32_t agent);
    void prefer_session(placement_choice& choice, modelled_entry& entry,
                        const live_request& request) const;

    // The decode agent's part.
    void submit_decode(live_request& request, std::uint32_t attempt);
    void start_prefill(live_request& request);
    void prefill_answered(live_request& request, std::uint32_t attempt);
    void pull(live_request& request);
    void finish(live_request& request, std::uint32_t attempt);
    void note_progress();
    void decode_event(std::uint32_t agent, const slot_event& event);

    // The prefill agent's part.
    void submit_prefill(live_request& request, std::uint32_t attempt);
    void prefill_refused(live_request& request);
    void run_prefill(live_request& request);
    void prefill_event(std::uint32_t agent, const slot_event& event);

    // Both.
    void drive(std::uint32_t agent);
    void lose_agent(std::uint32_t agent);
    void list_as_leaving(std::uint32_t agent);
    void waste(live_request& request);
    void free_slot(std::uint32_t agent, const live_request& request, double used);
    [[nodiscard]] live_request* find(std::uint32_t agent, const attempt_id& id);
    [[nodiscard]] static attempt_id id_of(const live_request& request);
    [[nodiscard]] double latest_start(const live_request& request) const;
    [[nodiscard]] double transfer_time(const live_request& request) const;
    [[nodiscard]] std::uint32_t cached_blocks(const live_request& request) const;
    [[nodiscard]] double delay(std::uint32_t left, std::uint32_t right) const;
    [[nodiscard]] time_point to_point(double when) const;

    const scenario* plan;
    const std::vector<traced_request>* trace;
    policy_features features;
    event_queue events;
    std::vector<modelled_agent> agents; ///< Prefill agents, then decode agents.
    std::vector<modelled_entry> entries;
    std::map<std::uint64_t, live_request> live; ///< By request number.
    run_outcome outcome;
};

} // namespace agateseam::bench
