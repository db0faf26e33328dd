#pragma once

#include "net/HTTPMessage.h"

#include <string_view>

namespace shallot {

// Assembles header fields from the fragments that http_parser reports. Trailer fields are dropped.
struct HeaderCollector {
    static constexpr size_t maximumHeaders = 200;

    bool lastWasValue { true };
    bool headersComplete { false };

    // False when the message has more than maximumHeaders fields.
    bool addName(HTTPHeaders& headers, std::string_view piece)
    {
        if (headersComplete)
            return true;
        if (lastWasValue) {
            if (headers.size() >= maximumHeaders)
                return false;
            headers.emplace_back();
        }
        lastWasValue = false;
        headers.back().first.append(piece);
        return true;
    }

    void addValue(HTTPHeaders& headers, std::string_view piece)
    {
        lastWasValue = true;
        if (!headersComplete)
            headers.back().second.append(piece);
    }
};

} // namespace shallot
