#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace shallot {

struct RequestID;

// Scores requests for load shedding, once at ingress. All hops use the same score, so that overloaded services along a call
// chain shed the same requests. A score is the priority plus a fraction. The fractions of an organisation are spread uniformly
// over the top of the range, over a width that is its rate divided by the largest organisation's rate. Any threshold therefore
// admits every organisation up to the same rate: shedding is max-min fair within a priority class.
class FairScore {
public:
    // Returns a score from 0 (shed first) to below 8. Counts the request towards its organisation's rate.
    float score(uint8_t priority, const std::string& organisation, const RequestID&, TimePoint now);

private:
    static constexpr size_t classes = 8;

    struct ArrivalRate {
        double perWindow { 0 };  // Moving average of requests per window
        uint32_t arrivals { 0 }; // In the current window
    };

    struct PriorityClass {
        std::unordered_map<std::string, ArrivalRate> organisations;
        double largestRate { 0 };
        TimePoint windowStart {};
    };

    static void closeWindow(PriorityClass&, TimePoint now);

    std::array<PriorityClass, classes> m_classes;
};

} // namespace shallot
