#pragma once

#include "core/Time.h"
#include "log/AppendQueue.h"
#include "log/FleetState.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace shallot {

namespace wire {
struct FrameT;
struct RecordsRequestT;
struct RecordsT;
} // namespace wire

class LogClient;
class PeerLink;
class PeerLinks;
struct LogPage;

// Keeps the fleet state up to date with the log. A few daemons of each zone read the log service and relay its records to the
// others; while the log is down, all daemons exchange records with each other.
class LogFollower {
public:
    LogFollower(LogClient&, PeerLinks&, AppendQueue&);

    // Sets the addresses of daemons to read from, preferred ones first. `readsLog` makes this daemon read the log service itself.
    void setSources(std::vector<std::string> relays, bool readsLog);
    void tick(TimePoint now);
    void onRequest(PeerLink&, const wire::RecordsRequestT&, TimePoint now);
    void onRecords(PeerLink&, const wire::RecordsT&, TimePoint now);
    void onLinkClosed(PeerLink&);

    // Called after records were applied.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

    const FleetState& fleetState() const { return m_fleetState; }
    // Latest time at which the fleet state was known to include the whole log; TimePoint() before the first confirmation.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    bool readsLog() const { return m_readsLog; }

private:
    struct WaitingPeer {
        PeerLink* link { nullptr };
        uint64_t sequence { 0 };
        uint64_t from { 0 };
        TimePoint since {};
    };

    void readFromLog(TimePoint now);
    void onPage(TimePoint readStart, const Result<LogPage>&);
    void requestFromRelay(TimePoint now);
    void applyRecords(const std::vector<StoredRecord>&);
    void confirm(TimePoint);
    void respondToWaitingPeers(TimePoint now);
    void sendRecords(const WaitingPeer&, TimePoint now);
    void afterRecordsApplied();

    LogClient& m_client;
    PeerLinks& m_links;
    AppendQueue& m_appends;
    FleetState m_fleetState;
    std::deque<StoredRecord> m_recent; // Latest records, kept for peers; oldest first
    size_t m_recentBytes { 0 };
    std::vector<std::string> m_relays;
    size_t m_relayIndex { 0 };
    std::vector<WaitingPeer> m_waiting; // Peers whose requests are held until further records arrive
    std::function<void()> m_onChange;
    bool m_readsLog { true };
    bool m_reading { false };
    bool m_appending { false };
    TimePoint m_lastRead {};
    TimePoint m_relayRequestedAt {};
    uint64_t m_relaySequence { 0 };
    bool m_relayRequestPending { false };
    TimePoint m_lastSuccess {};
    TimePoint m_confirmedAt {};
};

} // namespace shallot
