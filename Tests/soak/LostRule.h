#pragma once

#include "core/Time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace shallot {

// Whether a request that has ended counts as lost around planned work: the rule LOST of the platform, by its wording.
namespace lost {

using namespace std::chrono_literals;

constexpr Duration readSlack = 200ms;      // After its last byte; a request whose connection ends later has been read
constexpr Duration latestExcused = 3s;     // After SIGTERM; runs of requests sent later must be complete at the end
constexpr Duration afterShutdownTime = 1s; // For so long a stop counts on, also for the process that follows
constexpr Duration applyTime = 2s;         // Of settings and configurations
constexpr Duration stableWindow = 3s;      // Before a request, in which its machine has had no disruption
constexpr double usedShare = 0.7;          // Of its time; a request that has used so much is not held against a configuration

enum class AnswerOf : uint8_t { Nobody, BackendServer, Daemon };

struct EndedRequest {
    TimePoint sent {};                         // Its last byte; TimePoint(): not yet
    TimePoint ended {};                        // Its answer, or the end of its connection
    TimePoint atWorkUntil {};                  // Of the last run; `ended` while its backend server is at work
    TimePoint deadline { TimePoint::max() };   // That its sender named
    TimePoint routeLimit { TimePoint::max() }; // The end of its route's time-out
    AnswerOf answer { AnswerOf::Nobody };
    uint16_t status { 0 };
    bool isWhole { true }; // The answer
    bool wasPassedOn { false };
    bool isAtWork { false };
    bool isBrokenOffByBackend { false };
};

struct Stop {
    TimePoint requested {}; // The first SIGTERM of the process
    Duration shutdownTime {};
    TimePoint nextStart { TimePoint::max() }; // Of the process that follows
    bool isSentAgain { false };               // Another SIGTERM
};

struct Configuration {
    TimePoint sent {};
    TimePoint acknowledged {};
};

// Of the daemon that took the request from its sender; for a call of a run that is the daemon beside the run.
struct PlannedWork {
    std::vector<Stop> stops;
    std::vector<TimePoint> reloads; // SIGHUP
};

struct Disruption {
    TimePoint start {};
    TimePoint end { TimePoint::max() };
};

enum class Verdict : uint8_t {
    Answered, // By its backend server
    Refused,  // By the daemon, and has not run
    Unsent,   // Ended before its last byte was sent, and has not run
    Crossed,  // Ended with its connection while it was sent or just after, and has not run
    Excused,
    Lost,
    Failed, // Has no good end either, but no planned work counts
};

enum class Reason : uint8_t { None, Deadline, LastSixth, BackendServer, RouteLimit };
enum class Work : uint8_t { None, Stop, Reload, Configuration };

struct Judgement {
    Verdict verdict { Verdict::Answered };
    Reason reason { Reason::None }; // Excused
    Work work { Work::None };       // Lost
};

Judgement judge(const EndedRequest&, const PlannedWork&, std::span<const Configuration>);

// At work in the last sixth of the shutdown time of one of the stops, and sent early enough.
bool isLateInStop(const EndedRequest&, std::span<const Stop>);

// Unplanned disruption of the machine takes a request out of the rule; which kind of end it had stays known.
bool isBesideDisruption(const EndedRequest&, std::span<const Disruption>);

const char* toString(Reason);
const char* toString(Work);

} // namespace lost
} // namespace shallot
