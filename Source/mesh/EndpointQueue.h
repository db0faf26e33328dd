#pragma once

#include "core/RefCounted.h"
#include "limits/TokenBucket.h"
#include "mesh/EndpointReport.h"
#include "mesh/RunTimes.h"
#include "policy/RequestQueue.h"

#include <array>
#include <optional>

namespace shallot {

struct MeshSettings;

// Admission decision of the queue in front of a backend server for an arriving request.
enum class QueueDecision : uint8_t {
    Run,    // A slot is free and the rate limit is not reached
    Wait,   // It cannot run yet, but the expected wait is within the limit
    Refuse, // The expected wait exceeds the limit; refused without waiting
};

// Admission queue of one backend server, for load beyond its slots or its rate limit. A request is queued only if it can still be
// served in time after the queued requests of the same or a higher priority; otherwise it is refused at once with a retry time.
class EndpointQueue {
public:
    explicit EndpointQueue(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    void setSlots(uint32_t slots);
    uint32_t limit() const { return m_limit; }

    // Requests per second that the backend server takes; empty: any number.
    void setRateLimit(std::optional<double> perSecond, TimePoint now);

    // While paused, requests wait instead of running.
    void setPaused(bool paused) { m_paused = paused; }

    // `maximumWait`: longest time that the request may wait before it runs.
    QueueDecision decide(uint8_t priority, Duration maximumWait, TimePoint now) const;
    // Expected wait behind the queued requests of this and higher priorities; zero if one could run now and none of them waits.
    Duration expectedWait(uint8_t priority, TimePoint now) const;
    // Queueing delay that indicates overload: the pause between two requests at the rate limit does not.
    Duration pressure(uint8_t priority, TimePoint now) const;
    // Delay after which a refused request of this priority should be retried.
    Duration retryAfter(uint8_t priority, TimePoint now) const;
    // Time until the rate limit allows the next request; zero if it does now.
    Duration nextStartIn(TimePoint now) const;

    void push(QueueItem&);
    void remove(QueueItem&);
    // Removes the next request if it may run now; null if none waits or may run.
    QueueItem* popIfFree(TimePoint now);
    // Removes the requests whose deadlines have passed.
    std::vector<QueueItem*> takeExpired(TimePoint now);

    void recordStart(TimePoint now);
    void recordEnd() { m_running -= m_running ? 1 : 0; }
    void recordServiceTime(Duration, TimePoint now);

    uint32_t running() const { return m_running; }
    size_t queued() const { return m_queue.size(); }
    Duration serviceTime() const { return m_serviceTime; }
    const RunTimes& runTimes() const { return m_runTimes; }
    EndpointReport report(bool available, TimePoint now) const;

private:
    bool mayRunNow(TimePoint now) const;
    uint32_t countAhead(uint8_t priority) const;
    double recentRuns(TimePoint now) const;

    const MeshSettings& m_settings;
    RequestQueue m_queue;
    std::optional<TokenBucket> m_rate;               // One token for each request sent; empty: no limit
    std::array<uint32_t, queueClasses> m_waiting {}; // By priority
    uint32_t m_limit { 1 };
    uint32_t m_running { 0 };
    bool m_paused { false };
    Duration m_serviceTime {};
    RunTimes m_runTimes;
    double m_recentRuns { 0 }; // Decays with MeshSettings::runsLifetime
    TimePoint m_lastRunEndedAt {};
};

} // namespace shallot
