/// The whole public library.
#pragma once

#include <agateseam/admission.hpp>
#include <agateseam/agent_scheduler.hpp>
#include <agateseam/allowance.hpp>
#include <agateseam/cache_digest.hpp>
#include <agateseam/cache_index.hpp>
#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/fair_queue.hpp>
#include <agateseam/forward_declarations.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/published.hpp>
#include <agateseam/request.hpp>
#include <agateseam/static_admission.hpp>
#include <agateseam/version.hpp>
#include <agateseam/work_estimator.hpp>
