#pragma once

#include "core/Time.h"
#include "membership/GossipTable.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace shallot {

namespace wire {
struct FrameT;
struct GossipT;
} // namespace wire

class CrashFingerprints;
class LimitSystem;
class PeerLink;
class PeerLinks;

// Exchanges gossip over the peer links: probes, acknowledgements, lease renewals by witnesses and crash reports.
class Gossiper {
public:
    Gossiper(GossipTable&, PeerLinks&, CrashFingerprints&, LimitSystem&);

    void tick(TimePoint now);
    void onGossip(PeerLink&, const wire::GossipT&, TimePoint now);
    // Probes a witness; its acknowledgement renews this daemon's owner lease unless it has voted to revoke it.
    void requestLeaseRenewal(const std::string& member, TimePoint now);
    // Probes a daemon of which only the address is known.
    void probeAddress(const std::string& address, TimePoint now);
    // Probes some members at once to spread a change of the own entry.
    void announce(TimePoint now);
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

private:
    struct Probe {
        std::string member;
        TimePoint sentAt {};
    };

    void probe(const std::string& member, TimePoint now);
    wire::FrameT makeMessage(const std::string& peer, uint64_t sequence, uint64_t acknowledges, bool wholeTable, TimePoint now);
    void mergeCrashReports(const std::string& peer, const wire::GossipT&, TimePoint now);

    GossipTable& m_table;
    PeerLinks& m_links;
    CrashFingerprints& m_crashes;
    LimitSystem& m_limits;
    std::map<uint64_t, Probe> m_probes;
    int m_tablesReceived { 0 };
    uint64_t m_nextSequence { 1 };
    std::function<void()> m_onChange;
};

} // namespace shallot
