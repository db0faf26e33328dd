#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallot {

// Plan and API keys of an organisation. Operators maintain them in the list "organisations".
struct Organisation {
    std::string plan;                    // Name of a plan
    std::vector<std::string> keyDigests; // SHA-256 of each API key in hexadecimal; every key is valid

    bool operator==(const Organisation&) const = default;
};

// The quota and the routes of a group of organisations. Operators maintain it in the list "plans".
struct Plan {
    double rate { 0 };               // Requests per second over the whole fleet
    double burst { 1 };              // Burst size in requests over the whole fleet, at least 1
    std::vector<std::string> routes; // Names of the routes that the plan includes

    bool operator==(const Plan&) const = default;
};

// A route that clients can request.
struct Route {
    std::string path;            // Path prefix of requests, for instance "/profiles"
    std::string service;         // Service that serves it
    uint8_t priority { 3 };      // 0 is shed first, 7 last
    uint32_t timeoutMs { 1000 }; // Time limit of the whole request in milliseconds
    bool idempotent { true };    // False: runs at most once and requires an Idempotency-Key
    bool open { false };         // True: requires no API key and counts against no plan

    bool operator==(const Route&) const = default;
};

// An availability zone, which gets a share of every plan's rate.
struct Zone {
    uint32_t weight { 1 }; // Share of each plan's rate and burst, relative to the other zones

    bool operator==(const Zone&) const = default;
};

// The lists maintained by operators. Plain data, modified only by ConfigurationState.
struct Configuration {
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Plan> plans;
    std::map<std::string, Route> routes;
    std::map<std::string, Zone> zones;

    bool operator==(const Configuration&) const = default;
};

} // namespace shallot
