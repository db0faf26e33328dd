#pragma once

#include "core/Time.h"
#include "mesh/ColdStart.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallot {

// A service that receives a share of a route's requests.
struct ServiceShare {
    std::string service;
    double weight { 1 }; // Relative to the route's other shares
};

// Routing rule for requests to one host under one path prefix.
struct MeshRoute {
    std::string name;
    std::string host;                                   // Value of the Host header without the port
    std::string pathPrefix { "/" };                     // Begins and ends with a slash; the longest match wins
    std::vector<ServiceShare> services;                 // At least one
    bool idempotent { false };                          // Requests may be executed more than once
    bool open { false };                                // Requests need no API key
    uint8_t rank { 0 };                                 // 0 is the most urgent
    unsigned maximumEndpoints { 1 };                    // Limit on backend servers that one request may reach, retries included
    Duration timeLimit { std::chrono::seconds(30) };    // Upper bound of the time to the response
    Duration targetLatency { std::chrono::seconds(1) }; // Latency objective; a later response is worth less
    std::vector<std::string> allowedRegions;            // Of the backend servers that may get requests; empty: all
};

// An organisation with its API keys and its rate limit.
struct MeshOrganisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<uint8_t> rank;             // Takes precedence over the route's rank
    double rate { 0 };                       // Requests per second over the whole fleet; 0: no limit
    double burst { 0 };                      // Requests at once in excess of the rate
    std::vector<std::string> allowedRegions; // As of a route; both apply
};

struct MeshService {
    std::string name;
    std::string healthPath { "/health" };
    unsigned maximumConnections { 100 }; // Connections that one backend server accepts
    ColdStart coldStart;
};

// Limits on requests and connections of callers.
struct CallerLimits {
    size_t headerBytes { 16 * 1024 };
    size_t bodyBytes { 8 * 1024 * 1024 };
    Duration headerTimeout { std::chrono::seconds(3) };
    Duration idleTimeout { std::chrono::seconds(15) };
};

// A complete configuration; a higher version replaces a lower one.
struct MeshConfiguration {
    uint64_t version { 0 };
    // It has routes for uploads or downloads. Then the retry budget is kept beside the backend servers; other deployments are
    // served as before.
    bool hasBulkRoutes { false };
    std::vector<MeshRoute> routes;
    std::vector<MeshOrganisation> organisations;
    std::vector<MeshService> services;
    CallerLimits limits;
};

} // namespace shallot
