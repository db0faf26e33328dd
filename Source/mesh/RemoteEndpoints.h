#pragma once

#include "mesh/AllowedRegions.h"
#include "mesh/EndpointReport.h"
#include "mesh/MeshMember.h"

#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

struct MeshSettings;

// A daemon with its backend server, as seen by this daemon.
struct RemoteEndpoint {
    MeshMember member;
    EndpointReport report;
    TimePoint reportedAt {};    // Zero before the first report
    uint32_t outstanding { 0 }; // Own calls without a response
    uint32_t sentSinceReport { 0 };
    TimePoint avoidUntil {};         // After refusals and failures
    TimePoint suspectUntil {};       // Its link is unresponsive while calls are outstanding
    unsigned linkFailures { 0 };     // Consecutive
    TimePoint unreachableSince {};   // Time of the first of these failures
    TimePoint lastSeenAt {};         // Last time that it was reached
    bool leaving { false };          // It announced that it is shutting down
    TimePoint takesRunsUntil {};     // While it leaves
    TimePoint readerPenaltyUntil {}; // Not chosen as store reader, because its configuration was stale
};

// What became of a request's earlier attempts.
struct ChoiceConditions {
    bool anyZone { false };       // It was not taken: the penalty of other zones is ignored
    bool reachableOnly { false }; // It was refused for lack of capacity: trying members that may be gone would delay the refusal
    AllowedRegions regions {};
    std::span<const std::string> among {}; // Only these members, if there are any
};

// All known members with their endpoints. Balances calls over a service's backend servers by their load reports, and stays in the
// own availability zone while its backend servers have free capacity, because traffic between zones costs money. Also tracks
// which members are reachable, and derives store readers and ledger owners from that.
class RemoteEndpoints {
public:
    RemoteEndpoints(const MeshSettings&, std::string ownZone);

    void update(const MeshMember&);
    void remove(const std::string& name);
    RemoteEndpoint* find(std::string_view name);

    // Members of these zones are not chosen.
    void setEvacuatedZones(std::set<std::string, std::less<>> zones) { m_evacuatedZones = std::move(zones); }
    // Regions by zone; that of a zone which is not among them is not known.
    void setRegions(std::map<std::string, std::string, std::less<>> regions) { m_regions = std::move(regions); }
    // Members whose backend server is of that service, reachable or not.
    size_t countOf(std::string_view service) const;
    // Why a request has no member to go to although there are some; empty if it is neither of them.
    std::string_view reasonForNone(std::string_view service, const AllowedRegions&) const;

    // The endpoint with the lowest expected time to the response, endpoints to avoid last; null if all were tried.
    RemoteEndpoint* choose(
        std::string_view service, TimePoint now, const std::vector<std::string>& tried, ChoiceConditions conditions = {});

    void recordSent(RemoteEndpoint&);
    void recordCompleted(std::string_view name);
    void recordReport(std::string_view name, const EndpointReport&, TimePoint now);
    void recordFailure(std::string_view name, TimePoint now);
    // No link to the member exists or can be established. Ignored if the member was reached after `since`, the last activity on
    // the failed link or the start of the failed attempts: an old link may take longer to fail than a member takes to restart.
    void recordUnreachable(std::string_view name, TimePoint since, TimePoint now);
    // The member's link is unresponsive while calls are outstanding: it gets no new calls until its next report or for
    // linkPenalty.
    void recordUnresponsive(std::string_view name, TimePoint now);
    // recordUnreachable() for the member at that address, if there is one.
    void recordUnreachableAt(std::string_view address, TimePoint since, TimePoint now);
    void recordReachable(std::string_view name, TimePoint now);
    void recordStaleConfiguration(std::string_view name, TimePoint now);
    void recordFreshConfiguration(std::string_view name);

    // Store readers of a zone: its first `count` reachable members in an order that is the same on all daemons.
    std::vector<const RemoteEndpoint*> readersOf(std::string_view zone, size_t count, TimePoint now) const;

    // The unreachable member of a zone that is due for a probe; null if there is none. Such a member may be back without having
    // contacted this daemon.
    const RemoteEndpoint* nextToProbe(std::string_view zone, TimePoint now) const;
    // Addresses of unreachable and leaving members of any zone that are due for a probe, the longest overdue first. The next one
    // of each is due after linkPenalty.
    std::vector<std::string> takeProbes(size_t count, TimePoint now);

    // `takesRunsUntil`: its backend server gets requests until then, fewer and fewer.
    void recordLeaving(std::string_view name, bool leaving, TimePoint takesRunsUntil = {});
    // Whether another backend server of the service is known in the own availability zone, and none of them is in use.
    bool areOthersOutOfUse(std::string_view name, TimePoint now) const;
    // Owner of a ledger; null if no member is reachable. Members with different views of the reachable members use different
    // owners. An unreachable member owns no ledger until it is reached again: token requests do not serve as probes.
    const RemoteEndpoint* ledgerOwner(size_t ledger) const;
    // An unreachable member that would own the ledger and is due for a probe; null if there is none.
    const RemoteEndpoint* ledgerOwnerToProbe(size_t ledger, TimePoint now) const;

    // Number of members that may use their share of a rate: all but those unreachable for MeshSettings::unreachableMemberExpiry.
    size_t countShareHolders(TimePoint now) const;

    const std::map<std::string, RemoteEndpoint, std::less<>>& all() const { return m_endpoints; }

private:
    bool isAllowed(const RemoteEndpoint&, const AllowedRegions&) const;
    double shareInUse(const RemoteEndpoint&, TimePoint now) const;
    double sampleExpectedSeconds(const RemoteEndpoint&, Duration unknownServiceTime, bool anyZone, TimePoint now);
    Duration typicalServiceTime(const std::vector<RemoteEndpoint*>&, TimePoint now) const;
    bool hasReport(const RemoteEndpoint&, TimePoint now) const;

    const MeshSettings& m_settings;
    std::string m_ownZone;
    std::set<std::string, std::less<>> m_evacuatedZones;
    std::map<std::string, std::string, std::less<>> m_regions; // By zone
    std::map<std::string, RemoteEndpoint, std::less<>> m_endpoints; // By member
    std::map<std::string, std::vector<RemoteEndpoint*>, std::less<>> m_byService;
    std::minstd_rand m_random { 1 };
};

} // namespace shallot
