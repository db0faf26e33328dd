#pragma once

#include "core/Time.h"

#include <map>
#include <string>

namespace shallot {

// Refuses root requests whose call graph would fail: their score is below the retry level of a service below, and runs of the
// same route below that level have mostly failed with a nested call lately. Refused at the root they cost no work, and the callers
// learn at once. A share of such requests is admitted all the same, to find out when that has changed.
class CallGraphAdmission {
public:
    // A nested call of a run of that route reported this level.
    void recordLevel(const std::string& route, double level, TimePoint now);
    // The level that nested calls of the route reported lately; zero if there is none.
    double level(const std::string& route, TimePoint now) const;
    bool admits(const std::string& route, double score, TimePoint now);
    // A run whose score was below the level when it began.
    void recordEndBelowLevel(const std::string& route, bool nestedCallFailed, TimePoint now);

private:
    struct Flow {
        double level { 0 };
        TimePoint reportedAt {};
        double failing { 0 }; // Share of the runs below the level that fail, a moving average
        TimePoint endedAt {};
        unsigned refused { 0 }; // Since the last one that was admitted below the level
    };

    std::map<std::string, Flow> m_flows; // By route
};

} // namespace shallot
