#pragma once

#include <cstdint>
#include <string_view>

namespace shallot {

// Every way in which a request, an edit or a command can fail. The list is closed: add a row to the table with each kind.
enum class ErrorKind : uint8_t {
    None,
    BadRequest,
    KeyMissing,
    KeyUnknown,
    RouteForbidden,
    RouteUnknown,
    TooLarge,
    IdempotencyKeyMissing,
    RateExceeded,
    LimitUnavailable,
    Overloaded,
    NoBackendServer,
    BackendRefused,
    ConfigurationStale,
    Draining,
    ExpiredInQueue,
    TimedOut,
    BackendFailed,
    BadResponse,
    OutcomeUnknown,
    CrashSuspect,
    LogUnavailable,
    LogTrimmed,
    TooManyHops,
    Cancelled,
    EditConflict,
    EditInvalid,
    OperatorUnknown,
    Internal,
    Count,
};

// Whether the request had an effect on a backend server.
enum class ExecutionState : uint8_t {
    NotExecuted,
    Unknown,
    Executed,
};

// What a caller is told about one kind of error.
struct ErrorInfo {
    ErrorKind kind;           // The row's key
    std::string_view name;    // Machine-readable name, sent as X-Shallot-Error
    int httpStatus;           // Status towards callers and operators
    ExecutionState execution; // Sent as X-Shallot-Ran: "no", "unknown" or "yes"
    bool retryable;           // Whether the same request may succeed later; adds Retry-After
    std::string_view message; // For people
};

// Returns the row for a kind; a value outside the list gives the row of Internal.
const ErrorInfo& errorInfo(ErrorKind);
std::string_view toString(ExecutionState);

} // namespace shallot
