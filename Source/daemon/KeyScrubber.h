#pragma once

#include "core/Error.h"
#include "net/HTTPMessage.h"

#include <string>

namespace shallot {

// Takes the caller's key out of a request so that nothing behind ingress can see it.
// Looks in "Authorization: Bearer KEY", "X-Api-Key" and the query parameter "key". Empty when the request carries none.
// BadRequest when the key also stands where it cannot be removed: in the path or the body.
Result<std::string> takeKey(HTTPRequest&);

} // namespace shallot
