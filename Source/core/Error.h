#pragma once

#include "core/ErrorKind.h"
#include "core/Time.h"

#include <string>
#include <tl/expected.hpp>

namespace shallot {

// One failure: its kind, what exactly went wrong, and when to try again.
struct Error {
    ErrorKind kind { ErrorKind::Internal }; // Row of the error table
    std::string detail;                     // Names the item at fault; may be empty
    Duration retryAfter {};                 // Zero: the table's default
    bool onReusedConnection { false };      // The connection had carried other exchanges before
};

template <typename T> using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(ErrorKind kind, std::string detail = {})
{
    return tl::unexpected(Error { kind, std::move(detail), {} });
}

} // namespace shallot
