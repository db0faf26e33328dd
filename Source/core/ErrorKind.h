#pragma once

#include <cstdint>
#include <string_view>

namespace shallot {

// All ways in which a request, an edit or a command can fail. Each kind needs a row in the table of ErrorKind.cpp, in this
// order.
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
    RetryBudgetExhausted,
    Count,
};

// Whether a backend server executed the request, so that it may have had effects.
enum class ExecutionState : uint8_t {
    NotExecuted,
    Unknown,
    Executed,
};

// How one kind of error is reported to clients.
struct ErrorInfo {
    ErrorKind kind;           // Key of the row
    std::string_view name;    // Machine-readable name, sent as X-Shallot-Error
    int httpStatus;           // Status sent to clients and operators
    ExecutionState execution; // Sent as X-Shallot-Ran: "no", "unknown" or "yes"
    bool retryable;           // Whether the same request may succeed later; sends Retry-After
    std::string_view message; // Human-readable
};

// Returns the properties of a kind; those of Internal for a value outside the enumeration.
const ErrorInfo& errorInfo(ErrorKind);
std::string_view toString(ExecutionState);

} // namespace shallot
