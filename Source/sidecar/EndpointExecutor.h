#pragma once

#include "core/RefCounted.h"
#include "mesh/EndpointAnnouncement.h"
#include "mesh/EndpointLeave.h"
#include "mesh/EndpointQueue.h"
#include "mesh/MeshCall.h"
#include "mesh/RootLoadShedder.h"
#include "net/DeadlineQueue.h"
#include "net/HTTPPool.h"
#include "net/Timer.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace shallot {

struct MeshSettings;

// The run that made a call.
struct ParentRun {
    uint64_t id { 0 }; // As submit() gave it
    std::string route;
    uint8_t priority { 0 };
    uint8_t hops { 0 };
};

// The only way to the backend server beside this daemon, so its decisions are strict: who runs, who waits, who is refused,
// and whether a request has run.
class EndpointExecutor {
public:
    // `service` is what the instance was set up for; it holds until an announcement says otherwise.
    EndpointExecutor(const MeshSettings&, const SocketAddress& backendServer, const std::string& service);

    // The completion is called exactly once unless the call is cancelled. Returns the call's id.
    uint64_t submit(MeshCall, TimePoint now, MeshCompletion);
    void cancel(uint64_t id);

    // The run at the backend server that makes a call with that id and that much time left; nothing when a caller makes it.
    std::optional<ParentRun> findParent(std::string_view attemptID, Duration remaining, TimePoint now) const;
    // A call made by such a run met this wait.
    void recordPressure(const ParentRun&, Duration wait, TimePoint now);
    // A call made by such a run failed.
    void recordFailedNestedCall(const ParentRun&);

    // The backend server's word. Stale announcements change nothing.
    void recordAnnouncement(const EndpointAnnouncement&, TimePoint now);
    void recordLeave(const std::string& instance, TimePoint now);
    // The last leave beside this daemon, as the member list holds it from before a restart. Nothing is available before this is
    // known: the first announcement after a restart may be that of a backend server that had left.
    void setFormerLeave(const EndpointLeave&);
    // The backend server that says it leaves; empty when it does not.
    EndpointLeave currentLeave() const;
    // Where the backend server answers whether it is healthy; the first word also makes up for announcements not heard yet.
    void setHealthPath(const std::string&, TimePoint now);
    // Refuses new calls; those at work go on.
    void startLeaving();
    // Notices a backend server that fell silent.
    void tick() { updateAvailability(); }

    bool isAvailable(TimePoint now) const;
    EndpointReport report(TimePoint now) const;
    const std::string& service() const { return m_announcement.service; }
    size_t inProgress() const { return m_calls.size(); }
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

private:
    struct LiveRun : RefCounted<LiveRun> {
        QueueItem item;
        MeshCall call;
        MeshCompletion completion;
        std::string attemptID;
        TimePoint deadline {};
        TimePoint submitted {};
        TimePoint started {};
        bool running { false };
        bool nestedCallFailed { false }; // One that the run made
        bool resent { false };           // After a connection that had been dropped before
    };

    ErrorKind checkAdmission(const MeshCall&, TimePoint now) const;
    void runNext(TimePoint now);
    void run(LiveRun&, TimePoint now);
    void send(LiveRun&, Duration maximumIdle);
    void onResponse(uint64_t id, Result<HTTPResponse>);
    void finish(LiveRun&, Result<HTTPResponse>, bool reachedBackend, TimePoint now);
    void refuse(LiveRun&, ErrorKind, TimePoint now);
    void verifyInstance();
    void onProbe(const Result<HTTPResponse>&);
    bool updateAvailability(); // Whether there was one
    void onDeadline(uint64_t id);

    const MeshSettings& m_settings;
    std::string m_host;
    HTTPPool m_pool;
    HTTPPool m_probePool;
    EndpointQueue m_queue;
    RootLoadShedder m_loadShedder;
    std::unordered_map<uint64_t, RefPtr<LiveRun>> m_calls;
    std::unordered_map<std::string, uint64_t> m_running; // By attempt, while at the backend server
    DeadlineQueue m_deadlines;
    EndpointAnnouncement m_announcement;
    std::string m_healthPath;
    std::function<void()> m_onChange;
    TimePoint m_lastContact {};
    uint64_t m_nextID { 1 };
    bool m_announced { false };
    bool m_verified { false }; // The first announcement after a start may be old: a probe confirms it
    bool m_probing { false };
    Timer m_probeTimer;
    uint64_t m_probeID { 0 };
    EndpointLeave m_formerLeave;
    bool m_formerLeaveKnown { false };
    bool m_leaveAnnounced { false };   // The instance said that it ends
    uint64_t m_leaveAnnouncedAt { 0 }; // When, in milliseconds since 1970; without an announcement its start is not known better
    bool m_unreachable { false };      // Refused a connection; until its next announcement
    bool m_leaving { false };
    bool m_wasAvailable { false };
};

} // namespace shallot
