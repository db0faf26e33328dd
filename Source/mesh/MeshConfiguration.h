#pragma once

#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallot {

// A service that takes part of a route's requests.
struct ServiceShare {
    std::string service;
    double weight { 1 }; // Relative to the route's other shares
};

// Requests of one host under one path.
struct MeshRoute {
    std::string name;
    std::string host;                                   // As the Host header gives it, without a port
    std::string pathPrefix { "/" };                     // Begins and ends with a slash; the longest match wins
    std::vector<ServiceShare> services;                 // At least one
    bool idempotent { false };                          // Whether a request may run more than once
    bool open { false };                                // Needs no key
    uint8_t rank { 0 };                                 // 0 is the most urgent
    unsigned maximumEndpoints { 1 };                    // Backend servers that one request may reach
    Duration timeLimit { std::chrono::seconds(30) };    // Longest time until the answer
    Duration targetLatency { std::chrono::seconds(1) }; // Time until which an answer has its full worth
};

// A customer and its keys.
struct MeshOrganisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<uint8_t> rank; // Goes before the route's rank
    double rate { 0 };           // Requests a second over the whole fleet; 0: no limit
    double burst { 0 };          // Requests above the rate
};

struct MeshService {
    std::string name;
    std::string healthPath { "/health" };
    unsigned maximumConnections { 100 }; // That one backend server accepts
};

// What a caller may send.
struct CallerLimits {
    size_t headerBytes { 16 * 1024 };
    size_t bodyBytes { 8 * 1024 * 1024 };
    Duration headerTimeout { std::chrono::seconds(3) };
    Duration idleTimeout { std::chrono::seconds(15) };
};

// One whole configuration; a higher version replaces a lower one.
struct MeshConfiguration {
    uint64_t version { 0 };
    std::vector<MeshRoute> routes;
    std::vector<MeshOrganisation> organisations;
    std::vector<MeshService> services;
    CallerLimits limits;
};

} // namespace shallot
