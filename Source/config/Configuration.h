#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallot {

// One customer. Written by operators in the list "organisations".
struct Organisation {
    std::string plan;                    // Name of a plan
    std::vector<std::string> keyDigests; // SHA-256 of each key, hexadecimal; any of them works

    bool operator==(const Organisation&) const = default;
};

// What a plan may use. Written by operators in the list "plans".
struct Plan {
    double rate { 0 };               // Requests per second over the whole fleet
    double burst { 1 };              // Requests at once over the whole fleet, 1 or more
    std::vector<std::string> routes; // Names of routes that the plan may use

    bool operator==(const Plan&) const = default;
};

// One route that callers may ask for.
struct Route {
    std::string path;            // Path prefix that callers use, for instance "/profiles"
    std::string service;         // Service that answers it
    uint8_t priority { 3 };      // 0 is shed first, 7 last
    uint32_t timeoutMs { 1000 }; // Time limit of the whole request
    bool idempotent { true };    // False: runs at most once and needs an Idempotency-Key
    bool open { false };         // True: needs no key and counts against no plan

    bool operator==(const Route&) const = default;
};

// One availability zone that takes a part of every plan's rate.
struct Zone {
    uint32_t weight { 1 }; // Part of each plan's rate and burst, relative to the other zones

    bool operator==(const Zone&) const = default;
};

// The operators' lists as one value. Plain data: the fold over the log writes it, everything else reads it.
struct Configuration {
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Plan> plans;
    std::map<std::string, Route> routes;
    std::map<std::string, Zone> zones;

    bool operator==(const Configuration&) const = default;
};

} // namespace shallot
