#include "core/ErrorKind.h"

#include <array>

namespace shallot {

namespace {

using enum ErrorKind;

constexpr std::array<ErrorAnswer, static_cast<size_t>(Count)> answers { {
    { None, "none", 200, RunState::Ran, false, "No error." },
    { BadRequest, "bad-request", 400, RunState::NotRun, false, "The request could not be understood." },
    { KeyMissing, "key-missing", 401, RunState::NotRun, false, "The route needs a key." },
    { KeyUnknown, "key-unknown", 401, RunState::NotRun, false, "The key is unknown or was withdrawn." },
    { RouteForbidden, "route-forbidden", 403, RunState::NotRun, false, "The organisation's plan does not include this route." },
    { RouteUnknown, "route-unknown", 404, RunState::NotRun, false, "No route matches this path." },
    { TooLarge, "too-large", 413, RunState::NotRun, false, "The request is too large." },
    { IdempotencyKeyMissing, "idempotency-key-missing", 400, RunState::NotRun, false,
        "The route needs an Idempotency-Key header." },
    { RateExceeded, "rate-exceeded", 429, RunState::NotRun, true, "The organisation has used up its plan's rate and burst." },
    { LimitUnavailable, "limit-unavailable", 503, RunState::NotRun, true,
        "No owner of the organisation's limit can be reached." },
    { Overloaded, "overloaded", 503, RunState::NotRun, true, "The services on this route are overloaded." },
    { NoBackendServer, "no-backend-server", 503, RunState::NotRun, true, "No backend server of the service can be reached." },
    { BackendRefused, "backend-refused", 503, RunState::NotRun, true, "The backend server refused to run the request." },
    { ConfigurationStale, "configuration-stale", 503, RunState::NotRun, true,
        "The daemon cannot tell whether the key is still valid." },
    { Draining, "draining", 503, RunState::NotRun, true, "The backend server is leaving and takes no new work." },
    { ExpiredInQueue, "expired-in-queue", 504, RunState::NotRun, true,
        "The time limit passed before the request was dispatched." },
    { TimedOut, "timed-out", 504, RunState::Unknown, false, "The time limit passed while the request was running." },
    { BackendFailed, "backend-failed", 502, RunState::Unknown, true, "The backend server was lost while it ran the request." },
    { BadAnswer, "bad-answer", 502, RunState::Unknown, true, "The backend server's answer was incomplete or malformed." },
    { FateUnknown, "fate-unknown", 502, RunState::Unknown, false, "The request may have run; it will not be run again." },
    { CrashSuspect, "crash-suspect", 503, RunState::NotRun, false,
        "This request has brought backend servers down and is refused for a while." },
    { LogUnavailable, "log-unavailable", 503, RunState::NotRun, true, "The platform's log cannot be written." },
    { LogTrimmed, "log-trimmed", 503, RunState::NotRun, true, "The records asked for are no longer kept." },
    { TooManyHops, "too-many-hops", 508, RunState::NotRun, false, "The call chain is too deep." },
    { Cancelled, "cancelled", 499, RunState::Unknown, false, "The caller went away." },
    { EditConflict, "edit-conflict", 409, RunState::NotRun, false, "Another edit of the same item came first." },
    { EditInvalid, "edit-invalid", 422, RunState::NotRun, false, "The edit would leave the configuration invalid." },
    { OperatorUnknown, "operator-unknown", 401, RunState::NotRun, false, "The operator credential is missing or wrong." },
    { Internal, "internal", 500, RunState::Unknown, false, "An internal error occurred." },
} };

constexpr bool rowsFollowTheEnumeration()
{
    for (size_t i = 0; i < answers.size(); ++i) {
        if (answers[i].kind != static_cast<ErrorKind>(i))
            return false;
    }
    return true;
}
static_assert(rowsFollowTheEnumeration());

} // namespace

const ErrorAnswer& errorAnswer(ErrorKind kind)
{
    const auto index = static_cast<size_t>(kind);
    return index < answers.size() ? answers[index] : answers[static_cast<size_t>(Internal)];
}

std::string_view toString(RunState ran)
{
    switch (ran) {
    case RunState::NotRun:
        return "no";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "yes";
    }
    return "unknown";
}

} // namespace shallot
