/// The whole public library.
#pragma once

#include <agateseam/claim.hpp>
#include <agateseam/claim_ledger.hpp>
#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/forward_declarations.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/published.hpp>
#include <agateseam/request.hpp>
#include <agateseam/version.hpp>
