/// Names the whole public vocabulary before any of it is defined.
#pragma once

#include <cstdint>

namespace agateseam
{

// Errors and results.
enum class error_code : std::uint8_t;
struct error;

// Time.
class clock_source;
class steady_clock_source;
class manual_clock;

// Shared state.
template <typename T>
class published;
template <typename T>
class snapshot;

// The platform's object store.
struct object_record;
struct object_event;
class object_store;

// Allowances.
struct admission_decision;
struct allowance_terms;
class admission;
class static_admission;
class allowance;

// Requests.
enum class run_state : std::uint8_t;
enum class backend_kind : std::uint8_t;
struct attempt_id;
struct load_report;

// The work of one backend server.
class agent_scheduler;
class cache_digest;
class cache_index;
class fair_queue;
class work_estimator;
struct scheduler_load;
struct scheduler_options;
struct slot_event;
struct slot_request;

} // namespace agateseam
