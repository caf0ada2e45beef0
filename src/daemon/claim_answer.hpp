/// Answers to callers whose idempotency key is already claimed.
#pragma once

#include <agateseam/claim.hpp>
#include <net/http_server.hpp>

namespace agateseam
{

/// \brief Answers a repeated call with the recorded outcome or an error.
///
/// \remarks 409 `in_progress` while the first call runs, with Retry-After; 409
/// `outcome_unknown` when it is not known whether that call ran; 422
/// `idempotency_key_reused` when the key belongs to another call. A recorded outcome
/// carries `Idempotent-Replayed`.
void respond_claimed(http_exchange& exchange, const claim_answer& answer);

} // namespace agateseam
