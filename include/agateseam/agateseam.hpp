/// The whole public library.
#pragma once

#include <agateseam/admission.hpp>
#include <agateseam/agent_scheduler.hpp>
#include <agateseam/allowance.hpp>
#include <agateseam/claim.hpp>
#include <agateseam/claim_ledger.hpp>
#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/event.hpp>
#include <agateseam/event_log.hpp>
#include <agateseam/fair_queue.hpp>
#include <agateseam/forecast.hpp>
#include <agateseam/forward_declarations.hpp>
#include <agateseam/hybrid_clock.hpp>
#include <agateseam/metrics.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/price.hpp>
#include <agateseam/published.hpp>
#include <agateseam/request.hpp>
#include <agateseam/static_admission.hpp>
#include <agateseam/usage.hpp>
#include <agateseam/usage_batch.hpp>
#include <agateseam/usage_ledger.hpp>
#include <agateseam/usage_meter.hpp>
#include <agateseam/version.hpp>
