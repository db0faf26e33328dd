#pragma once

#include "core/Error.h"
#include "net/HTTPMessage.h"

namespace shallot {

// The one answer that callers and operators get for an error: the table's status, a machine-readable kind, whether the
// request ran, and when to try again.
HTTPResponse makeErrorResponse(const Error&);

} // namespace shallot
