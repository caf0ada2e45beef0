/// Forward declarations of the public types.
#pragma once

#include <cstdint>

namespace agateseam
{

// Errors.
enum class error_code : std::uint8_t;
struct error;

// Clocks and timestamps.
class clock_source;
class steady_clock_source;
class manual_clock;
struct hybrid_time;
class hybrid_clock;

// Events, and request histories built from them.
enum class event_kind : std::uint8_t;
struct event_view;
struct event;
class event_log;
struct request_log_line;
struct request_explanation;
class request_explainer;

// Usage metering.
struct usage_counters;
struct usage_key;
struct usage_batch;
struct usage_receipt;
class usage_meter;
class usage_outbox;
class hourly_usage_record;
class usage_ledger;
class usage_account;

// Metrics.
class metric_counter;
class metric_quantiles;
class metric_writer;
struct workspace_service_level;
class service_level_monitor;

// Cost forecasts.
struct calendar_month;
struct hourly_amount;
struct forecast_query;
struct month_forecast;

// State shared between threads.
template <typename T>
class published;
template <typename T>
class snapshot_guard;

// The platform's object store.
struct object_record;
struct object_event;
class object_store;
enum class store_call_kind : std::uint8_t;
struct store_budget_options;
class budgeted_store;

// Allowances.
struct admission_decision;
struct allowance_limits;
class admission;
class static_admission;
class token_buckets;

// Claims, which keep a call from being executed twice.
enum class claim_status : std::uint8_t;
struct call_outcome;
struct claim_request;
struct claim_answer;
struct claim_ledger_options;
class claim_shard;
class claim_ledger;

// Shares of an allowance that entries hold.
struct share_account;
struct share_report_line;
struct share_report;
struct share_grant;
struct share_answer;
struct share_census;
struct share_census_answer;
struct shard_home_record;
struct share_holder_options;
class share_home;
class share_holder;
class share_coordinator;
class share_transport;

// The numbered configuration and its distribution to entries.
struct configuration;
struct config_change;
struct config_state;
struct config_patch;
struct patch_outcome;
class config_store;
struct peer_record;
struct peer_config_status;
struct config_source;
struct config_relay_options;
class config_relay;

// Requests and attempts.
enum class run_state : std::uint8_t;
enum class backend_kind : std::uint8_t;
struct attempt_id;
struct load_report;
class retry_budget;

// Scheduling at one backend server.
class agent_scheduler;
class cache_digest;
class cache_index;
class fair_queue;
class work_estimator;
struct scheduler_load;
struct scheduler_options;
struct slot_event;
struct slot_request;

// Routes and backend servers.
enum class repeat_rule : std::uint8_t;
struct weighted_service;
struct service_route;
struct workspace_limits;
struct engine_properties;
struct service_properties;
struct caller_limits;
struct routing_parts;
class routing_table;
enum class engine_stage : std::uint8_t;
struct backend_server;
class backend_directory;

// Allowance buckets that entries spend from together.
struct bucket_limits;
struct fleet_view;
class fleet_bucket;
struct bucket_report;
enum class digest_scope : std::uint8_t;
struct entry_digest;
class digest_reducer;
class name_key;
struct fleet_ledger_options;
class fleet_ledger;

// Changes in the platform's store, which some entries watch for all.
struct object_change;
class change_history;
struct watch_candidate;
class store_availability;
struct store_position;
struct store_watch_plan;

// Placement, retries and prediction of work.
enum class server_observation : std::uint8_t;
class server_health_tracker;
enum class attempt_outcome : std::uint8_t;
enum class retry_decision : std::uint8_t;
struct retry_state;
struct output_estimate;
class output_length_estimator;
struct stream_memory;
class memory_curve;
struct decode_claim;
class engine_placement;
struct waiting_request;
struct fleet_queue;
class waiting_queue;
class model_latency_estimator;
class stop_schedule;

} // namespace agateseam
