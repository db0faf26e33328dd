#pragma once

#include "core/RefCounted.h"
#include "net/BodyStream.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallot {

using HTTPHeaders = std::vector<std::pair<std::string, std::string>>;

struct HTTPRequest {
    std::string method { "GET" };
    std::string target { "/" }; // Path and query
    HTTPHeaders headers;
    std::string body;
};

struct HTTPResponse {
    uint16_t status { 200 };
    HTTPHeaders headers;
    std::string body;
    RefPtr<BodyStream> rest;   // What follows `body` while it still arrives; null: the body is complete
    int64_t bodyLength { -1 }; // Of the whole body, if `rest` is set and the sender named it; otherwise negative
};

// Compares ASCII letters without regard to case, as HTTP header names require.
bool equalsIgnoringCase(std::string_view, std::string_view);
// Value of the first header of that name; empty when there is none.
std::string_view findHeader(const HTTPHeaders&, std::string_view name);
// Whether the header applies to a single connection and must not be forwarded.
bool isHopByHopHeader(std::string_view name);
// Whether the name and the value are free of bytes that would allow header injection.
bool isSafeHeader(std::string_view name, std::string_view value);

} // namespace shallot
