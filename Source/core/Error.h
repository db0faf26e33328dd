#pragma once

#include "core/ErrorKind.h"
#include "core/Time.h"

#include <string>
#include <tl/expected.hpp>

namespace shallot {

// A failure: its kind, a specific description, and when to retry.
struct Error {
    ErrorKind kind { ErrorKind::Internal }; // See errorInfo()
    std::string detail;                     // Names the item that caused the failure; may be empty
    Duration retryAfter {};                 // Zero: the default applies
    bool onReusedConnection { false };      // The connection had carried earlier exchanges
};

template <typename T> using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(ErrorKind kind, std::string detail = {})
{
    return tl::unexpected(Error { kind, std::move(detail), {} });
}

// Whether the request is known not to have run.
inline bool isNotExecuted(const Error& error)
{
    return errorInfo(error.kind).execution == ExecutionState::NotExecuted;
}

} // namespace shallot
