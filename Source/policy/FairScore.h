#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace shallot {

struct RequestID;

// Ranks requests for shedding, once at ingress; all hops use the same rank, so overloaded services along a chain shed the
// same requests. A score is the priority plus a fraction. An organisation's fractions are spread over the part of the
// range that corresponds to its rate over the largest organisation's rate, so any threshold admits every organisation up
// to the same rate: shedding is max-min fair within a class.
class FairScore {
public:
    // From 0 (shed first) to below 8.
    float score(uint8_t priority, const std::string& organisation, const RequestID&, TimePoint now);

private:
    static constexpr size_t classes = 8;

    struct ArrivalRate {
        double perWindow { 0 };  // Averaged
        uint32_t arrivals { 0 }; // In this window
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
