#pragma once

#include "core/RefCounted.h"
#include "mesh/EndpointReport.h"
#include "policy/RequestQueue.h"

#include <array>
#include <optional>

namespace shallot {

struct MeshSettings;

// What the queue beside a backend server decides about an arriving request.
enum class QueueDecision : uint8_t {
    Run,    // A slot is free
    Wait,   // It can still be answered in time
    Refuse, // It could not; better told at once
};

// Admission to one backend server, for load beyond its slots: few requests wait, each only if it can still be answered in
// time behind the more urgent ones before it; the others are refused at once with the time at which there is room.
class EndpointQueue {
public:
    explicit EndpointQueue(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    void setSlots(uint32_t slots);
    uint32_t limit() const { return m_limit; }

    // `patience`: how long the request may wait before it runs.
    QueueDecision decide(uint8_t priority, Duration maximumWait) const;
    // Expected wait behind the requests of this priority and above.
    Duration expectedWait(uint8_t priority) const;
    // When a refused request of this priority should come back.
    Duration retryAfter(uint8_t priority) const;

    void push(QueueItem&);
    void remove(QueueItem&);
    // The next request to run if a slot is free; null otherwise.
    QueueItem* popIfFree();
    // Requests that waited past their deadlines.
    std::vector<QueueItem*> takeExpired(TimePoint now);

    void recordStart() { ++m_running; }
    void recordEnd() { m_running -= m_running ? 1 : 0; }
    void recordServiceTime(Duration);

    uint32_t running() const { return m_running; }
    size_t queued() const { return m_queue.size(); }
    Duration serviceTime() const { return m_serviceTime; }
    EndpointReport report(bool available) const;

private:
    const MeshSettings& m_settings;
    RequestQueue m_queue;
    std::array<uint32_t, queueClasses> m_waiting {}; // By priority
    uint32_t m_limit { 1 };
    uint32_t m_running { 0 };
    Duration m_serviceTime {};
};

} // namespace shallot
