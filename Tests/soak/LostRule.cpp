#include "LostRule.h"

#include <algorithm>
#include <array>

namespace shallot::lost {

namespace {

bool isRefusal(uint16_t status)
{
    constexpr std::array<uint16_t, 4> refusals { 408, 421, 429, 503 };
    return std::find(refusals.begin(), refusals.end(), status) != refusals.end();
}

Reason excuse(const EndedRequest& request, const PlannedWork& work)
{
    if (request.ended >= request.deadline)
        return Reason::Deadline;
    if (isLateInStop(request, work.stops))
        return Reason::LastSixth;
    if (request.isBrokenOffByBackend)
        return Reason::BackendServer;
    return request.ended >= request.routeLimit ? Reason::RouteLimit : Reason::None;
}

bool hasUsedItsTime(const EndedRequest& request)
{
    const auto limit = std::min(request.deadline, request.routeLimit);
    if (limit == TimePoint::max())
        return false;
    return toSeconds(request.ended - request.sent) >= usedShare * toSeconds(limit - request.sent);
}

// The letter asks only for planned work "around" the request: any overlap of the two counts.
Work plannedWork(const EndedRequest& request, const PlannedWork& work, std::span<const Configuration> configurations)
{
    const auto overlaps = [&request](TimePoint start, TimePoint end) { return request.ended >= start && request.sent <= end; };
    if (std::any_of(work.stops.begin(), work.stops.end(), [&overlaps](const Stop& stop) {
            return overlaps(stop.requested, stop.requested + stop.shutdownTime + afterShutdownTime);
        }))
        return Work::Stop;
    if (std::any_of(work.reloads.begin(), work.reloads.end(),
            [&overlaps](TimePoint reload) { return overlaps(reload, reload + applyTime); }))
        return Work::Reload;
    // Whether the machine cuts more requests then than at other times is not asked: none may be cut.
    if (!hasUsedItsTime(request)
        && std::any_of(configurations.begin(), configurations.end(), [&overlaps](const Configuration& each) {
               return overlaps(each.sent, each.acknowledged + applyTime + afterShutdownTime);
           }))
        return Work::Configuration;
    return Work::None;
}

} // namespace

Judgement judge(const EndedRequest& request, const PlannedWork& work, std::span<const Configuration> configurations)
{
    const auto answer = request.isWhole ? request.answer : AnswerOf::Nobody;
    if (answer == AnswerOf::BackendServer)
        return { Verdict::Answered };
    if (answer == AnswerOf::Daemon && isRefusal(request.status) && !request.wasPassedOn)
        return { Verdict::Refused };
    if (answer == AnswerOf::Nobody && !request.wasPassedOn) {
        if (request.sent == TimePoint())
            return { Verdict::Unsent };
        if (request.ended <= request.sent + readSlack)
            return { Verdict::Crossed };
    }
    if (const auto reason = excuse(request, work); reason != Reason::None)
        return { Verdict::Excused, reason };
    const auto counted = plannedWork(request, work, configurations);
    // An answer of the daemon's own counts only in place of a run at work, and only after a SIGTERM.
    const bool isLost = answer == AnswerOf::Nobody ? counted != Work::None : request.isAtWork && counted == Work::Stop;
    return isLost ? Judgement { Verdict::Lost, Reason::None, counted } : Judgement { Verdict::Failed };
}

bool isLateInStop(const EndedRequest& request, std::span<const Stop> stops)
{
    return std::any_of(stops.begin(), stops.end(), [&request](const Stop& stop) {
        return request.ended < stop.nextStart && request.sent <= stop.requested + latestExcused
            && request.atWorkUntil >= stop.requested + stop.shutdownTime * 5 / 6;
    });
}

bool isBesideDisruption(const EndedRequest& request, std::span<const Disruption> disruptions)
{
    return std::any_of(disruptions.begin(), disruptions.end(),
        [&request](const Disruption& each) { return each.start <= request.ended && each.end >= request.sent - stableWindow; });
}

const char* toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        break;
    case Reason::Deadline:
        return "at its deadline";
    case Reason::LastSixth:
        return "in the last sixth of the shutdown time";
    case Reason::BackendServer:
        return "by its backend server";
    case Reason::RouteLimit:
        return "at its route's time-out";
    }
    return "";
}

const char* toString(Work work)
{
    switch (work) {
    case Work::None:
        break;
    case Work::Stop:
        return "around a stop";
    case Work::Reload:
        return "around a reload";
    case Work::Configuration:
        return "around a change of the configuration";
    }
    return "";
}

} // namespace shallot::lost
