#include "sidecar/MeshFrames.h"

#include "daemon/CallFrames.h"
#include "mesh/MemberList.h"
#include "net/SocketAddress.h"
#include "platform/RequestCodec.h"
#include "wire/FrameReader.h"
#include "wire/Frames_generated.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto latestSendingTime = static_cast<uint64_t>(longestDuration.count()); // By any clock

uint64_t toMicroseconds(Duration duration)
{
    return static_cast<uint64_t>(std::max<int64_t>(0, duration.count()));
}

std::vector<uint64_t> sorted(std::vector<uint64_t> values)
{
    std::sort(values.begin(), values.end());
    return values;
}

Duration fromMicroseconds(uint64_t microseconds)
{
    constexpr uint64_t maximumMicroseconds = 600'000'000;
    return Duration(static_cast<int64_t>(std::min(microseconds, maximumMicroseconds)));
}

// A number that is no count says nothing of the service time.
double readRecentRuns(float runs)
{
    return runs >= 0 ? std::min(runs, 1e6F) : 0;
}

// A number that is no pace says nothing of the machine.
double readPace(float pace)
{
    constexpr float maximumPace = 1e4F;
    return pace > 0 ? std::min(pace, maximumPace) : 0;
}

} // namespace

wire::FrameT makeMeshCallFrame(uint64_t id, const MeshCall& call)
{
    auto frame = makeCallFrame(id, call.context, call.service, call.request);
    auto* body = frame.body.AsCall();
    body->target_us = toMicroseconds(call.targetLatency);
    body->returning = call.scheduledRetry;
    body->repeat = call.repeat;
    body->first_sending = call.firstSending;
    body->root_organisation = call.rootOrganisation;
    body->sent_us = toMicroseconds(call.sentAt.time_since_epoch());
    return frame;
}

wire::FrameT makeMeshAnswerFrame(uint64_t id, const MeshOutcome& outcome)
{
    auto frame = makeAnswerFrame(id, { outcome.response, 0, 0 });
    auto* body = frame.body.AsAnswer();
    body->unavailable = !outcome.report.available;
    body->in_flight = outcome.report.running;
    body->queued = outcome.report.queued;
    body->limit = outcome.report.limit;
    body->service_us = toMicroseconds(outcome.report.serviceTime);
    if (outcome.report.rateLimit)
        body->rate_limit = *outcome.report.rateLimit;
    body->recent_runs = static_cast<float>(outcome.report.recentRuns);
    body->rate_wait_us = toMicroseconds(outcome.report.rateWait);
    body->pressure_us = toMicroseconds(outcome.report.pressure);
    body->pace = static_cast<float>(outcome.report.pace);
    body->pace_age_us = toMicroseconds(outcome.report.paceAge);
    body->keeps_retry_budget = outcome.report.keepsRetryBudget;
    body->arrived = outcome.reachedBackend;
    body->call_failed = outcome.nestedCallFailed;
    return frame;
}

wire::FrameT makeCallQueryFrame(uint64_t id, uint64_t boot)
{
    wire::CallQueryT query;
    query.id = id;
    query.boot = boot;
    wire::FrameT frame;
    frame.body.Set(query);
    return frame;
}

wire::FrameT makeCallStateFrame(uint64_t id, ServedCallState state)
{
    wire::CallStateT message;
    message.id = id;
    message.state = static_cast<uint8_t>(state);
    wire::FrameT frame;
    frame.body.Set(message);
    return frame;
}

MeshCall readMeshCall(wire::CallT& call)
{
    MeshCall result;
    result.context = readContext(call);
    result.service = std::move(call.service);
    result.targetLatency = fromMicroseconds(call.target_us);
    result.scheduledRetry = call.returning;
    result.repeat = call.repeat;
    result.firstSending = call.first_sending;
    result.rootOrganisation = std::move(call.root_organisation);
    result.sentAt = TimePoint(Duration(static_cast<Duration::rep>(std::min(call.sent_us, latestSendingTime))));
    result.request = readRequest(call);
    return result;
}

MeshOutcome readMeshOutcome(wire::AnswerT& answer)
{
    EndpointReport report { !answer.unavailable, answer.in_flight, answer.queued, std::max(1U, answer.limit),
        fromMicroseconds(answer.service_us) };
    if (answer.rate_limit >= 0)
        report.rateLimit = answer.rate_limit;
    report.recentRuns = readRecentRuns(answer.recent_runs);
    report.rateWait = fromMicroseconds(answer.rate_wait_us);
    report.pressure = fromMicroseconds(answer.pressure_us);
    report.pace = readPace(answer.pace);
    report.paceAge = fromMicroseconds(answer.pace_age_us);
    report.keepsRetryBudget = answer.keeps_retry_budget;
    const bool reachedBackend = answer.arrived;
    const bool nestedCallFailed = answer.call_failed;
    return { readOutcome(answer).response, report, reachedBackend, nestedCallFailed };
}

void addReport(wire::MemberStateT& state, const EndpointReport& report)
{
    state.slots = report.limit;
    state.in_flight = report.running;
    state.queued = report.queued;
    state.service_us = toMicroseconds(report.serviceTime);
    if (report.rateLimit)
        state.rate_limit = *report.rateLimit;
    state.recent_runs = static_cast<float>(report.recentRuns);
    state.rate_wait_us = toMicroseconds(report.rateWait);
    state.takes_runs_for_us = toMicroseconds(report.takesRunsFor);
    state.pace = static_cast<float>(report.pace);
    state.pace_age_us = toMicroseconds(report.paceAge);
    state.keeps_retry_budget = report.keepsRetryBudget;
}

EndpointReport readReport(const wire::MemberStateT& state)
{
    EndpointReport report;
    report.limit = std::max(1U, state.slots);
    report.running = state.in_flight;
    report.queued = state.queued;
    report.serviceTime = fromMicroseconds(state.service_us);
    if (state.rate_limit >= 0)
        report.rateLimit = state.rate_limit;
    report.recentRuns = readRecentRuns(state.recent_runs);
    report.rateWait = fromMicroseconds(state.rate_wait_us);
    report.takesRunsFor = fromMicroseconds(state.takes_runs_for_us);
    report.pace = readPace(state.pace);
    report.paceAge = fromMicroseconds(state.pace_age_us);
    report.keepsRetryBudget = state.keeps_retry_budget;
    return report;
}

std::unique_ptr<wire::CrashSuspectT> packCrashSuspect(const CrashSuspect& suspect)
{
    auto item = std::make_unique<wire::CrashSuspectT>();
    item->fingerprint = suspect.fingerprint;
    item->crashes = suspect.crashes;
    item->cleared = suspect.cleared;
    item->recorded_s = suspect.recordedAt.time_since_epoch().count();
    item->crash_ids = suspect.crashIDs;
    return item;
}

std::vector<CrashSuspect> readCrashSuspects(std::span<const std::unique_ptr<wire::CrashSuspectT>> items)
{
    constexpr int64_t maximumSeconds = 1LL << 40;
    std::vector<CrashSuspect> suspects;
    for (const auto& item : items) {
        if (item && item->recorded_s >= 0 && item->recorded_s < maximumSeconds)
            suspects.push_back({ item->fingerprint, item->crashes, item->cleared,
                std::chrono::sys_seconds(std::chrono::seconds(item->recorded_s)), sorted(item->crash_ids) });
    }
    return suspects;
}

void addEvacuations(wire::RecordsT& records, const ZoneEvacuations& evacuations)
{
    records.operator_known = evacuations.isKnown();
    records.operator_era = evacuations.position().era;
    records.operator_next = evacuations.position().next;
    for (const auto& [zone, offset] : evacuations.zones()) {
        auto evacuation = std::make_unique<wire::EvacuationT>();
        evacuation->zone = zone;
        evacuation->offset = offset;
        records.evacuations.push_back(std::move(evacuation));
    }
}

ZoneEvacuations::Zones readEvacuations(const wire::RecordsT& records)
{
    ZoneEvacuations::Zones zones;
    for (const auto& evacuation : records.evacuations) {
        if (evacuation && !evacuation->zone.empty())
            zones[evacuation->zone] = evacuation->offset;
    }
    return zones;
}

void addMemberUpdate(wire::RecordsT& records, const MemberUpdate& update)
{
    records.members_known = update.state.isKnown;
    records.members_from = update.from;
    records.members_next = update.state.offset;
    records.members_digest = update.state.digest;
    records.members_era = update.state.era;
    records.members_whole = update.isSnapshot;
    for (const auto& member : update.members) {
        auto state = std::make_unique<wire::MemberStateT>();
        state->member = member.name;
        state->zone = member.zone;
        state->address = member.address;
        state->service = member.service;
        state->left_instance = member.lastLeave.instance;
        state->left_started_by = member.lastLeave.latestStart;
        for (const auto& suspect : member.crashSuspects)
            state->crash_suspects.push_back(packCrashSuspect(suspect));
        records.members.push_back(std::move(state));
    }
}

MemberUpdate readMemberUpdate(const wire::RecordsT& records)
{
    MemberUpdate update;
    update.state = { records.members_known, records.members_next, records.members_digest, records.members_era };
    update.isSnapshot = records.members_whole;
    update.from = records.members_from;
    for (const auto& state : records.members) {
        if (!state || state->member.empty() || !parseSocketAddress(state->address))
            continue;
        update.members.push_back({ state->member, state->zone, state->address, state->service,
            { state->left_instance, state->left_started_by }, readCrashSuspects(state->crash_suspects) });
    }
    return update;
}

std::string meshFrameDictionary()
{
    MeshCall call;
    call.firstSending = false; // Daemons of earlier versions have a dictionary without that field
    call.request = platform::exampleRequest();
    const MeshOutcome outcome { platform::exampleResponse(), {}, false };
    return packFrame(makeMeshAnswerFrame(0, outcome)) + packFrame(makeMeshCallFrame(0, call));
}

} // namespace shallot
