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
struct share_account;
struct share_line;
struct share_report;
struct share_grant;
struct share_answer;
struct share_census;
struct share_census_answer;
struct share_record;
struct share_options;
class share_home;
class share_holder;
class share_node;
class share_transport;

// Requests.
enum class run_state : std::uint8_t;
enum class backend_kind : std::uint8_t;
struct attempt_id;
struct load_report;

} // namespace agateseam
