#pragma once

#include "core/Error.h"
#include "net/HTTPMessage.h"

namespace shallot {

// Builds the response to callers and operators for an error: HTTP status and message of the error table, machine-readable kind,
// whether the request was executed, and when to retry.
HTTPResponse makeErrorResponse(const Error&);

} // namespace shallot
