#include "core/ErrorKind.h"

#include <array>

namespace shallot {

namespace {

using enum ErrorKind;

constexpr std::array<ErrorInfo, static_cast<size_t>(Count)> errorTable { {
    { None, "none", 200, ExecutionState::Executed, false, "No error." },
    { BadRequest, "bad-request", 400, ExecutionState::NotExecuted, false, "The request could not be understood." },
    { KeyMissing, "key-missing", 401, ExecutionState::NotExecuted, false, "The route needs a key." },
    { KeyUnknown, "key-unknown", 401, ExecutionState::NotExecuted, false, "The key is unknown or was withdrawn." },
    { RouteForbidden, "route-forbidden", 403, ExecutionState::NotExecuted, false,
        "The organisation's plan does not include this route." },
    { RouteUnknown, "route-unknown", 404, ExecutionState::NotExecuted, false, "No route matches this path." },
    { TooLarge, "too-large", 413, ExecutionState::NotExecuted, false, "The request is too large." },
    { IdempotencyKeyMissing, "idempotency-key-missing", 400, ExecutionState::NotExecuted, false,
        "The route needs an Idempotency-Key header." },
    { RateExceeded, "rate-exceeded", 429, ExecutionState::NotExecuted, true,
        "The organisation has used up its plan's rate and burst." },
    { LimitUnavailable, "limit-unavailable", 503, ExecutionState::NotExecuted, true,
        "No owner of the organisation's limit can be reached." },
    { Overloaded, "overloaded", 503, ExecutionState::NotExecuted, true, "The services on this route are overloaded." },
    { NoBackendServer, "no-backend-server", 503, ExecutionState::NotExecuted, true,
        "No backend server of the service can be reached." },
    { BackendRefused, "backend-refused", 503, ExecutionState::NotExecuted, true,
        "The backend server refused to run the request." },
    { ConfigurationStale, "configuration-stale", 503, ExecutionState::NotExecuted, true,
        "The daemon cannot tell whether the key is still valid." },
    { Draining, "draining", 503, ExecutionState::NotExecuted, true, "The backend server is leaving and takes no new work." },
    { ExpiredInQueue, "expired-in-queue", 504, ExecutionState::NotExecuted, true,
        "The time limit passed before the request was dispatched." },
    { TimedOut, "timed-out", 504, ExecutionState::Unknown, false, "The time limit passed while the request was running." },
    { BackendFailed, "backend-failed", 502, ExecutionState::Unknown, true,
        "The backend server was lost while it ran the request." },
    { BadResponse, "bad-answer", 502, ExecutionState::Unknown, true, "The backend server's answer was incomplete or malformed." },
    { OutcomeUnknown, "fate-unknown", 502, ExecutionState::Unknown, false,
        "The request may have run; it will not be run again." },
    { CrashSuspect, "crash-suspect", 503, ExecutionState::NotExecuted, false,
        "This request has brought backend servers down and is refused for a while." },
    { LogUnavailable, "log-unavailable", 503, ExecutionState::NotExecuted, true, "The platform's log cannot be written." },
    { LogTrimmed, "log-trimmed", 503, ExecutionState::NotExecuted, true, "The records asked for are no longer kept." },
    { TooManyHops, "too-many-hops", 508, ExecutionState::NotExecuted, false, "The call chain is too deep." },
    { Cancelled, "cancelled", 499, ExecutionState::Unknown, false, "The caller went away." },
    { EditConflict, "edit-conflict", 409, ExecutionState::NotExecuted, false, "Another edit of the same item came first." },
    { EditInvalid, "edit-invalid", 422, ExecutionState::NotExecuted, false, "The edit would leave the configuration invalid." },
    { OperatorUnknown, "operator-unknown", 401, ExecutionState::NotExecuted, false,
        "The operator credential is missing or wrong." },
    { Internal, "internal", 500, ExecutionState::Unknown, false, "An internal error occurred." },
    { RetryBudgetExhausted, "retry-budget-exhausted", 503, ExecutionState::NotExecuted, true,
        "The service has no retries left for requests of this urgency." },
} };

constexpr bool rowsMatchEnumerators()
{
    for (size_t i = 0; i < errorTable.size(); ++i) {
        if (errorTable[i].kind != static_cast<ErrorKind>(i))
            return false;
    }
    return true;
}
static_assert(rowsMatchEnumerators());

} // namespace

const ErrorInfo& errorInfo(ErrorKind kind)
{
    const auto index = static_cast<size_t>(kind);
    return index < errorTable.size() ? errorTable[index] : errorTable[static_cast<size_t>(Internal)];
}

std::string_view toString(ExecutionState execution)
{
    switch (execution) {
    case ExecutionState::NotExecuted:
        return "no";
    case ExecutionState::Unknown:
        return "unknown";
    case ExecutionState::Executed:
        return "yes";
    }
    return "unknown";
}

} // namespace shallot
