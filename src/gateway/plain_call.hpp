/// Serves a request to a plain service, with attempts at several servers if necessary.
#pragma once

#include <gateway/request_scope.hpp>

namespace agateseam
{

/// \brief Serves the request and answers its caller, also when no attempt succeeded.
task<void> run_plain_call(request_scope& scope);

} // namespace agateseam
