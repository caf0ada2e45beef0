/// The whole public library.
#pragma once

#include <agateseam/admission.hpp>
#include <agateseam/allowance.hpp>
#include <agateseam/api_key.hpp>
#include <agateseam/claim.hpp>
#include <agateseam/claim_ledger.hpp>
#include <agateseam/clock.hpp>
#include <agateseam/config_relay.hpp>
#include <agateseam/config_store.hpp>
#include <agateseam/configuration.hpp>
#include <agateseam/error.hpp>
#include <agateseam/forward_declarations.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/published.hpp>
#include <agateseam/request.hpp>
#include <agateseam/static_admission.hpp>
#include <agateseam/version.hpp>
