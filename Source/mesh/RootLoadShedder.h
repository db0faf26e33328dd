#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shallot {

struct MeshSettings;

// Sheds requests at the root of their call graph when a service below is overloaded, also one far below the route's own service.
// Refusing a call deep in the graph wastes all work done for its request and fails the request all the same; refusing the request
// itself costs nothing. The limit on concurrent requests follows the queueing times that their nested calls report, separately
// for each route and priority: routes that do not call the overloaded service are not affected, and more urgent requests, which
// wait less in the services' queues, are limited last.
class RootLoadShedder {
public:
    explicit RootLoadShedder(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // Whether one more request may start. `scheduledRetry`: it returns at the time given with its refusal and has a higher limit.
    bool admits(const std::string& route, uint8_t priority, bool scheduledRetry, TimePoint now);
    void recordStart(const std::string& route, uint8_t priority);
    void recordEnd(const std::string& route, uint8_t priority);
    // A nested call of a request of that route and priority waited this long in a queue.
    void recordPressure(const std::string& route, uint8_t priority, Duration wait, TimePoint now);
    // Average wait that nested calls of such requests reported recently; zero without a recent report.
    Duration pressure(const std::string& route, uint8_t priority, TimePoint now) const;

private:
    struct Flow {
        double limit { 0 }; // Concurrent requests; 0: no limit
        uint32_t running { 0 };
        double wait { 0 }; // Moving average, seconds
        TimePoint reportedAt {};
        TimePoint changedAt {};
    };

    void adapt(Flow&, TimePoint now) const;

    const MeshSettings& m_settings;
    std::map<std::pair<std::string, uint8_t>, Flow> m_flows; // By route and priority
};

} // namespace shallot
