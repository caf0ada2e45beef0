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

// Claims on calls that may not be repeated.
enum class claim_verdict : std::uint8_t;
struct call_outcome;
struct claim_order;
struct claim_answer;
struct claim_ledger_options;
class claim_shard;
class claim_ledger;

// The numbered configuration.
struct configuration;
struct config_change;
struct config_state;
struct config_patch;
struct patch_outcome;
class config_store;
struct peer_record;
struct peer_word;
struct config_step;
struct config_relay_options;
class config_relay;

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

} // namespace agateseam
