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

// Keeps the fold at the end of the log: a few daemons of each zone read the log service, the others ask these, and all
// ask each other while the log is down.
class LogFollower {
public:
    LogFollower(LogClient&, PeerLinks&, AppendQueue&);

    // Addresses of daemons to ask, best first. `readsLog` makes this daemon read the log service itself.
    void setSources(std::vector<std::string> relays, bool readsLog);
    void tick(TimePoint now);
    void onRequest(PeerLink&, const wire::RecordsRequestT&, TimePoint now);
    void onRecords(PeerLink&, const wire::RecordsT&, TimePoint now);
    void onLinkClosed(PeerLink&);

    // Called after records were folded.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

    const FleetState& fleetState() const { return m_fleetState; }
    // The latest time at which the fold was known to be the whole log; the epoch's start before that.
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
    void askRelay(TimePoint now);
    void applyRecords(const std::vector<StoredRecord>&);
    void confirm(TimePoint);
    void answerWaiting(TimePoint now);
    void sendRecords(const WaitingPeer&, TimePoint now);
    void afterRecordsApplied();

    LogClient& m_client;
    PeerLinks& m_links;
    AppendQueue& m_appends;
    FleetState m_fleetState;
    std::deque<StoredRecord> m_recent; // Records for peers, oldest first
    size_t m_recentBytes { 0 };
    std::vector<std::string> m_relays;
    size_t m_relayIndex { 0 };
    std::vector<WaitingPeer> m_waiting; // Peers that asked for records that do not exist yet
    std::function<void()> m_onChange;
    bool m_readsLog { true };
    bool m_reading { false };
    bool m_appending { false };
    TimePoint m_lastRead {};
    TimePoint m_relayAskedAt {};
    uint64_t m_relaySequence { 0 };
    bool m_relayAsked { false };
    TimePoint m_lastSuccess {};
    TimePoint m_confirmedAt {};
};

} // namespace shallot
