#pragma once

#include "mesh/EndpointReport.h"
#include "mesh/MeshMember.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

struct MeshSettings;

// One daemon with its backend server, as this daemon knows it.
struct RemoteEndpoint {
    MeshMember member;
    EndpointReport report;
    TimePoint reportedAt {};    // Zero before the first report
    uint32_t outstanding { 0 }; // Own calls without an answer
    uint32_t sentSinceReport { 0 };
    TimePoint avoidUntil {};         // Refusals and failures
    TimePoint suspectUntil {};       // Calls wait for it and its link is silent
    unsigned linkFailures { 0 };     // In a row
    TimePoint unreachableSince {};   // The first of them
    TimePoint lastSeenAt {};         // It last proved that it can be reached
    bool leaving { false };          // It told that it is being stopped
    TimePoint readerPenaltyUntil {}; // Its knowledge of the configuration was old
};

// Places calls: spreads load over a service's backend servers by their reports, and stays in the own availability zone
// while its backend servers have room, because bytes between zones cost.
class RemoteEndpoints {
public:
    RemoteEndpoints(const MeshSettings&, std::string ownZone);

    void update(const MeshMember&);
    void remove(const std::string& name);
    RemoteEndpoint* find(std::string_view name);

    // The endpoint with the lowest expected time; null when all were tried. `anyZone` leaves the cost of other zones out, for a
    // request that was refused for want of room.
    RemoteEndpoint* choose(std::string_view service, TimePoint now, const std::vector<std::string>& tried, bool anyZone = false);

    void recordSent(RemoteEndpoint&);
    void recordCompleted(std::string_view name);
    void recordReport(std::string_view name, const EndpointReport&, TimePoint now);
    void recordFailure(std::string_view name, TimePoint now);
    // No link to it stands or can be made. Nothing is recorded when it was heard of after `since`, the last sign of life on what
    // failed: an old link may take longer to die than a member takes to start again.
    void recordUnreachable(std::string_view name, TimePoint since, TimePoint now);
    // Its link is silent though calls wait for it: it gets no new ones until it speaks.
    void recordSilent(std::string_view name, TimePoint now);
    // The member at that address, if there is one.
    void recordUnreachableAt(std::string_view address, TimePoint since, TimePoint now);
    void recordReachable(std::string_view name, TimePoint now);
    void recordStaleConfiguration(std::string_view name, TimePoint now);
    void recordFreshConfiguration(std::string_view name);

    // Members of a zone that read the store for it: the first few reachable ones in an order that all members share.
    std::vector<const RemoteEndpoint*> readersOf(std::string_view zone, size_t count, TimePoint now) const;

    // The unreachable member of a zone that is due to be tried again; null when there is none. Whoever was found unreachable may
    // be back without a word to this daemon.
    const RemoteEndpoint* nextToProbe(std::string_view zone, TimePoint now) const;

    void recordLeaving(std::string_view name, bool leaving);
    // The member that keeps a ledger; null when none can be reached. Members that see different ones ask different keepers. A
    // lost member keeps none until it was heard of again: requests are no probes.
    const RemoteEndpoint* ledgerOwner(size_t ledger) const;
    // A lost member that would keep the ledger and is due to be tried again; null when there is none.
    const RemoteEndpoint* ledgerOwnerToProbe(size_t ledger, TimePoint now) const;

    // Members that may hold a part of a rate: all but those that have been unreachable for long.
    size_t countShareHolders(TimePoint now) const;

    const std::map<std::string, RemoteEndpoint, std::less<>>& all() const { return m_endpoints; }

private:
    double expectedSeconds(const RemoteEndpoint&, Duration unknownServiceTime, bool anyZone, TimePoint now) const;
    Duration typicalServiceTime(const std::vector<RemoteEndpoint*>&, TimePoint now) const;
    bool hasReport(const RemoteEndpoint&, TimePoint now) const;

    const MeshSettings& m_settings;
    std::string m_ownZone;
    std::map<std::string, RemoteEndpoint, std::less<>> m_endpoints; // By member
    std::map<std::string, std::vector<RemoteEndpoint*>, std::less<>> m_byService;
    std::minstd_rand m_random { 1 };
};

} // namespace shallot
