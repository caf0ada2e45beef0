/// Serves a request to a model: reserves decode memory, then has the prompt prefilled,
/// the KV cache transferred and the stream relayed.
#pragma once

#include <gateway/request_scope.hpp>

namespace agateseam
{

/// \brief Serves the request and answers its caller, also when no server could be used.
task<void> run_model_call(request_scope& scope);

} // namespace agateseam
