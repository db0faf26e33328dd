#pragma once

#include "net/HTTPMessage.h"

#include <string_view>

namespace shallot {

// Puts header fields together from the pieces in which the parser library reports them. Trailers are dropped.
struct HeaderCollector {
    static constexpr size_t maximumHeaders = 200;

    bool lastWasValue { true };
    bool headersComplete { false };

    // False when there are too many fields.
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
