#include "mesh/RemoteEndpoints.h"

#include "core/Digest.h"
#include "mesh/Decay.h"
#include "mesh/MeshSettings.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace shallot {

namespace {

constexpr double costJitter = 0.1; // Random fraction of the cost, so that daemons with the same reports choose differently

// Whether a request to a member is likely to be answered, the best first.
enum class Prospect : uint8_t {
    Good,
    Penalised,   // It refused or failed a request, or its link is unresponsive
    PerhapsBack, // It was gone, and is due for a probe
    PerhapsGone,
};

bool mayBeGone(const RemoteEndpoint& endpoint, TimePoint now)
{
    return (endpoint.leaving && now >= endpoint.takesRunsUntil) || endpoint.linkFailures;
}

Prospect prospectOf(const RemoteEndpoint& endpoint, TimePoint now)
{
    const bool isPenalised = std::max(endpoint.avoidUntil, endpoint.suspectUntil) > now;
    if (mayBeGone(endpoint, now))
        return isPenalised ? Prospect::PerhapsGone : Prospect::PerhapsBack;
    return isPenalised ? Prospect::Penalised : Prospect::Good;
}

} // namespace

RemoteEndpoints::RemoteEndpoints(const MeshSettings& settings, std::string ownZone)
    : m_settings(settings)
    , m_ownZone(std::move(ownZone))
{
}

void RemoteEndpoints::update(const MeshMember& member)
{
    auto& endpoint = m_endpoints[member.name];
    const bool moved = endpoint.member.service != member.service || endpoint.member.name.empty();
    if (moved) {
        std::erase(m_byService[endpoint.member.service], &endpoint);
        m_byService[member.service].push_back(&endpoint);
    }
    if (endpoint.member.address != member.address) {
        endpoint.avoidUntil = {};
        endpoint.linkFailures = 0;
    }
    endpoint.member = member;
}

void RemoteEndpoints::remove(const std::string& name)
{
    const auto found = m_endpoints.find(name);
    if (found == m_endpoints.end())
        return;
    std::erase(m_byService[found->second.member.service], &found->second);
    m_endpoints.erase(found);
}

RemoteEndpoint* RemoteEndpoints::find(std::string_view name)
{
    const auto found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

bool RemoteEndpoints::hasReport(const RemoteEndpoint& endpoint, TimePoint now) const
{
    return endpoint.reportedAt != TimePoint() && now - endpoint.reportedAt < m_settings.reportLifetime;
}

// Service time assumed for a backend server without a recent report: that of the fastest, so that new backend servers are tried,
// and slow ones are tried again after a while.
Duration RemoteEndpoints::typicalServiceTime(const std::vector<RemoteEndpoint*>& endpoints, TimePoint now) const
{
    Duration best = Duration::max();
    for (const auto* endpoint : endpoints) {
        if (hasReport(*endpoint, now) && endpoint->report.serviceTime > Duration::zero())
            best = std::min(best, endpoint->report.serviceTime);
    }
    return best == Duration::max() ? m_settings.assumedServiceTime : best;
}

// The others' adaptive limits follow a load that grows over some of their windows, but not one that is there at once.
double RemoteEndpoints::shareInUse(const RemoteEndpoint& endpoint, TimePoint now) const
{
    constexpr double leastShare = 0.05;
    if (!endpoint.leaving)
        return 1;
    return std::clamp(toSeconds(endpoint.takesRunsUntil - now) / toSeconds(m_settings.leaveSlope), leastShare, 1.0);
}

double RemoteEndpoints::sampleExpectedSeconds(
    const RemoteEndpoint& endpoint, Duration unknownServiceTime, bool anyZone, TimePoint now)
{
    const auto& report = endpoint.report;
    const bool reported = hasReport(endpoint, now);
    const bool measured = reported && report.serviceTime > Duration::zero();
    const double runs = measured ? decayed(report.recentRuns, now - endpoint.reportedAt, m_settings.runsLifetime) : 0;
    double service = toSeconds(unknownServiceTime);
    // The one with the longer service time gets few requests, so a time measured during a stall would not be corrected.
    if (measured)
        service += (toSeconds(report.serviceTime) - service) * runs / (runs + m_settings.assumedRuns);
    // A difference within the standard error does not show which server is faster, so each choice samples the times.
    std::uniform_real_distribution<double> sample(-1, 1);
    service *= 1 + sample(m_random) / std::sqrt(runs + m_settings.assumedRuns);
    const double limit = std::max(1U, report.limit) * shareInUse(endpoint, now);
    const double reportedLoad = reported ? report.running + report.queued + endpoint.sentSinceReport : 0;
    const double load = (std::max<double>(reportedLoad, endpoint.outstanding) + 1) / limit;
    double seconds = service;
    if (load > 1)
        seconds += load * service; // A full backend server justifies a call to another zone
    if (load > m_settings.loadKnee)
        seconds += (std::min(load, 1.0) - m_settings.loadKnee) * service;
    // The wait passes while no request is sent, so a limit that has been raised or ended is found out by the next request.
    if (report.rateLimit) {
        const double rate = std::max(*report.rateLimit, m_settings.minimumRateLimit);
        const double wait = toSeconds(report.rateWait - (now - endpoint.reportedAt)) + endpoint.sentSinceReport / rate;
        seconds += std::max(0.0, wait);
    }
    if (endpoint.member.zone != m_ownZone && !anyZone)
        seconds += std::max(toSeconds(m_settings.zonePenalty), m_settings.zonePenaltyShare * service);
    return seconds;
}

bool RemoteEndpoints::isAllowed(const RemoteEndpoint& endpoint, const AllowedRegions& regions) const
{
    if (m_evacuatedZones.contains(endpoint.member.zone))
        return false;
    if (!regions.isLimited())
        return true;
    const auto region = m_regions.find(endpoint.member.zone);
    return region != m_regions.end() && regions.allow(region->second);
}

size_t RemoteEndpoints::countOf(std::string_view service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? 0 : found->second.size();
}

std::string_view RemoteEndpoints::reasonForNone(std::string_view service, const AllowedRegions& regions) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end() || found->second.empty())
        return {};
    const auto& members = found->second;
    const auto allows = [&](const auto* endpoint) { return isAllowed(*endpoint, regions); };
    const auto isEvacuated = [this](const auto* endpoint) { return m_evacuatedZones.contains(endpoint->member.zone); };
    if (std::any_of(members.begin(), members.end(), allows))
        return {};
    return std::all_of(members.begin(), members.end(), isEvacuated) ? "all zones of the service are evacuated"
                                                                    : "no backend server in an allowed region may be used";
}

RemoteEndpoint* RemoteEndpoints::choose(
    std::string_view service, TimePoint now, const std::vector<std::string>& tried, ChoiceConditions conditions)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return nullptr;
    RemoteEndpoint* best = nullptr;
    double bestCost = 0;
    auto bestProspect = Prospect::Good;
    const auto unknownServiceTime = typicalServiceTime(found->second, now);
    std::uniform_real_distribution<double> factor(1, 1 + costJitter);
    for (auto* endpoint : found->second) {
        if (std::find(tried.begin(), tried.end(), endpoint->member.name) != tried.end())
            continue;
        if (conditions.reachableOnly && mayBeGone(*endpoint, now))
            continue;
        if (!isAllowed(*endpoint, conditions.regions))
            continue;
        const auto& among = conditions.among;
        if (!among.empty() && std::find(among.begin(), among.end(), endpoint->member.name) == among.end())
            continue;
        const auto prospect = prospectOf(*endpoint, now);
        const double cost = sampleExpectedSeconds(*endpoint, unknownServiceTime, conditions.anyZone, now) * factor(m_random);
        if (best && std::tie(prospect, cost) >= std::tie(bestProspect, bestCost))
            continue;
        best = endpoint;
        bestCost = cost;
        bestProspect = prospect;
    }
    return best;
}

std::vector<const RemoteEndpoint*> RemoteEndpoints::readersOf(std::string_view zone, size_t count, TimePoint now) const
{
    std::vector<std::pair<uint64_t, const RemoteEndpoint*>> order;
    for (const auto& [name, endpoint] : m_endpoints) {
        // A member that did not respond becomes a candidate again once it is reachable; a failed member does not.
        if (endpoint.member.zone == zone && !endpoint.linkFailures && endpoint.readerPenaltyUntil <= now)
            order.emplace_back(stableHash(name), &endpoint);
    }
    std::sort(order.begin(), order.end());
    std::vector<const RemoteEndpoint*> readers;
    for (size_t i = 0; i < std::min(count, order.size()); ++i)
        readers.push_back(order[i].second);
    return readers;
}

void RemoteEndpoints::recordSent(RemoteEndpoint& endpoint)
{
    ++endpoint.outstanding;
    ++endpoint.sentSinceReport;
}

void RemoteEndpoints::recordCompleted(std::string_view name)
{
    auto* endpoint = find(name);
    if (endpoint && endpoint->outstanding)
        --endpoint->outstanding;
}

void RemoteEndpoints::recordReport(std::string_view name, const EndpointReport& report, TimePoint now)
{
    auto* endpoint = find(name);
    if (!endpoint)
        return;
    const bool recovered = report.available && !endpoint->report.available;
    endpoint->report = report;
    endpoint->reportedAt = now;
    endpoint->suspectUntil = {};
    endpoint->sentSinceReport = 0;
    if (!report.available)
        endpoint->avoidUntil = std::max(endpoint->avoidUntil, now + m_settings.unavailablePenalty);
    else if (recovered)
        endpoint->avoidUntil = {};
}

void RemoteEndpoints::recordFailure(std::string_view name, TimePoint now)
{
    if (auto* endpoint = find(name))
        endpoint->avoidUntil = std::max(endpoint->avoidUntil, now + m_settings.failurePenalty);
}

void RemoteEndpoints::recordUnreachable(std::string_view name, TimePoint since, TimePoint now)
{
    auto* endpoint = find(name);
    if (!endpoint)
        return;
    endpoint->leaving = false; // Its process has ended, so the announced shutdown is over
    if (endpoint->lastSeenAt > since)
        return;
    const auto penalty = m_settings.linkPenalty * (1 << std::min(endpoint->linkFailures, 4U));
    if (!endpoint->linkFailures++)
        endpoint->unreachableSince = now;
    endpoint->avoidUntil = std::max(endpoint->avoidUntil, now + std::min(penalty, m_settings.linkPenaltyMaximum));
}

void RemoteEndpoints::recordUnresponsive(std::string_view name, TimePoint now)
{
    if (auto* endpoint = find(name))
        endpoint->suspectUntil = now + m_settings.linkPenalty;
}

void RemoteEndpoints::recordUnreachableAt(std::string_view address, TimePoint since, TimePoint now)
{
    for (const auto& [name, endpoint] : m_endpoints) {
        if (endpoint.member.address == address) {
            recordUnreachable(name, since, now);
            return;
        }
    }
}

void RemoteEndpoints::recordLeaving(std::string_view name, bool leaving, TimePoint takesRunsUntil)
{
    if (auto* endpoint = find(name)) {
        endpoint->leaving = leaving;
        endpoint->takesRunsUntil = takesRunsUntil;
    }
}

bool RemoteEndpoints::areOthersOutOfUse(std::string_view name, TimePoint now) const
{
    const auto own = m_endpoints.find(name);
    const auto service = own == m_endpoints.end() ? m_byService.end() : m_byService.find(own->second.member.service);
    if (service == m_byService.end())
        return false;
    bool hasOthers = false;
    for (const auto* other : service->second) {
        if (other == &own->second || other->member.zone != m_ownZone)
            continue;
        hasOthers = true;
        if (!other->leaving && other->report.available && !mayBeGone(*other, now))
            return false;
    }
    return hasOthers;
}

// Rendezvous hashing over the reachable members.
const RemoteEndpoint* RemoteEndpoints::ledgerOwner(size_t ledger) const
{
    const RemoteEndpoint* owner = nullptr;
    uint64_t best = 0;
    for (const auto& [name, endpoint] : m_endpoints) {
        if (endpoint.linkFailures || endpoint.leaving)
            continue;
        const auto weight = stableHash(name, ledger + 1);
        if (!owner || weight > best) {
            owner = &endpoint;
            best = weight;
        }
    }
    return owner;
}

const RemoteEndpoint* RemoteEndpoints::ledgerOwnerToProbe(size_t ledger, TimePoint now) const
{
    const auto* owner = ledgerOwner(ledger);
    const auto least = owner ? stableHash(owner->member.name, ledger + 1) : 0;
    const RemoteEndpoint* next = nullptr;
    for (const auto& [name, endpoint] : m_endpoints) {
        const bool isDue = endpoint.linkFailures && endpoint.avoidUntil <= now && stableHash(name, ledger + 1) > least;
        if (isDue && (!next || endpoint.avoidUntil < next->avoidUntil))
            next = &endpoint;
    }
    return next;
}

size_t RemoteEndpoints::countShareHolders(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        return !item.second.linkFailures || now - item.second.unreachableSince < m_settings.unreachableMemberExpiry;
    }));
}

void RemoteEndpoints::recordStaleConfiguration(std::string_view name, TimePoint now)
{
    if (auto* endpoint = find(name))
        endpoint->readerPenaltyUntil = now + m_settings.readerPenalty;
}

void RemoteEndpoints::recordFreshConfiguration(std::string_view name)
{
    if (auto* endpoint = find(name))
        endpoint->readerPenaltyUntil = {};
}

const RemoteEndpoint* RemoteEndpoints::nextToProbe(std::string_view zone, TimePoint now) const
{
    const RemoteEndpoint* next = nullptr;
    for (const auto& [name, endpoint] : m_endpoints) {
        const bool isDue = endpoint.member.zone == zone && endpoint.linkFailures && endpoint.avoidUntil <= now;
        if (isDue && (!next || endpoint.avoidUntil < next->avoidUntil))
            next = &endpoint;
    }
    return next;
}

std::vector<std::string> RemoteEndpoints::takeProbes(size_t count, TimePoint now)
{
    std::vector<RemoteEndpoint*> due;
    for (auto& [name, endpoint] : m_endpoints) {
        if (mayBeGone(endpoint, now) && endpoint.avoidUntil <= now)
            due.push_back(&endpoint);
    }
    std::sort(due.begin(), due.end(), [](const auto* a, const auto* b) { return a->avoidUntil < b->avoidUntil; });
    due.resize(std::min(due.size(), count));
    std::vector<std::string> addresses;
    for (auto* endpoint : due) {
        endpoint->avoidUntil = now + m_settings.linkPenalty;
        addresses.push_back(endpoint->member.address);
    }
    return addresses;
}

void RemoteEndpoints::recordReachable(std::string_view name, TimePoint now)
{
    auto* endpoint = find(name);
    if (!endpoint)
        return;
    endpoint->lastSeenAt = now;
    if (!endpoint->linkFailures)
        return;
    endpoint->linkFailures = 0;
    endpoint->avoidUntil = {};
}

} // namespace shallot
