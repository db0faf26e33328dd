#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shallot {

struct MeshSettings;

// Sheds requests at the root of their call graph when a service below is overloaded. Refusing a call deep in the graph
// wastes all work done for its request and fails the request all the same; refusing the request itself costs nothing. The
// load it answers: more requests of a route than a service far below the route's own can bear. The limit on requests at
// work follows the waits that their calls report, apart for each route and priority: routes that make no such calls are not
// touched, and more urgent ones, which meet shorter waits in the services' queues, are cut last.
class RootLoadShedder {
public:
    explicit RootLoadShedder(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // Whether one more request may begin.
    bool admits(const std::string& route, uint8_t priority, bool scheduledRetry, TimePoint now);
    void recordStart(const std::string& route, uint8_t priority);
    void recordEnd(const std::string& route, uint8_t priority);
    // A call made by a request of that route met this wait.
    void recordPressure(const std::string& route, uint8_t priority, Duration wait, TimePoint now);
    // The longest wait that calls of such requests met lately.
    Duration pressure(const std::string& route, uint8_t priority, TimePoint now) const;

private:
    struct Flow {
        double limit { 0 }; // Requests at work; 0: none
        uint32_t running { 0 };
        double wait { 0 }; // Averaged, seconds
        TimePoint reportedAt {};
        TimePoint changedAt {};
    };

    void adapt(Flow&, TimePoint now) const;

    const MeshSettings& m_settings;
    std::map<std::pair<std::string, uint8_t>, Flow> m_flows; // By route and priority
};

} // namespace shallot
