#pragma once

#include "core/Error.h"
#include "net/HTTPMessage.h"

#include <string>

namespace shallot {

// Removes the caller's API key from a request and returns it, so that no component behind ingress sees it.
// Looks in "Authorization: Bearer KEY", "X-Api-Key" and the query parameter "key". Empty when the request has no key.
// Returns BadRequest when the key also occurs where it cannot be removed: in the path or the body.
Result<std::string> extractAPIKey(HTTPRequest&);

} // namespace shallot
