#pragma once

#include "core/Time.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallot {

struct PolicySettings;

// A daemon with its backend server, as seen by this daemon. Load is measured by this daemon; reported load is not used.
struct Endpoint {
    std::string member;
    std::string zone;
    std::string address; // For the peer link; empty for this daemon itself
    std::string service;
    uint32_t slots { 1 };
    bool available { true };     // Announced, neither draining nor crashed
    uint32_t inFlight { 0 };     // Calls from this daemon
    double latencySeconds { 0 }; // Moving average over this daemon's calls; 0 before the first
    TimePoint avoidUntil {};     // Set after a refusal or failure
};

// Endpoints by service, with load balancing between them.
class EndpointTable {
public:
    EndpointTable(const PolicySettings& settings, std::string zone)
        : m_settings(settings)
        , m_zone(std::move(zone))
    {
    }

    // Adds or updates an endpoint. Measurements are kept unless its service changes.
    void update(Endpoint);
    void remove(std::string_view member);
    Endpoint* find(std::string_view member);

    // Power of two random choices: returns the endpoint with the lower cost of two random ones in the local availability zone, or
    // in any zone when the local one has no candidate. Endpoints that are being avoided are used only when no other is left.
    // Skips the members in `tried`. Null when there is no candidate.
    Endpoint* choose(std::string_view service, TimePoint now, const std::vector<std::string>& tried);

    void recordStart(std::string_view member);
    void recordEnd(std::string_view member, Duration latency);
    void recordRefusal(std::string_view member, TimePoint now);
    void recordFailure(std::string_view member, TimePoint now);

    size_t countAvailable(std::string_view service) const;
    const std::unordered_map<std::string, std::vector<Endpoint>>& services() const { return m_services; }

private:
    Endpoint* chooseFrom(
        std::vector<Endpoint>&, TimePoint now, const std::vector<std::string>& tried, bool localZoneOnly, bool avoidPenalised);
    double cost(const Endpoint&) const;

    const PolicySettings& m_settings;
    std::string m_zone;
    std::unordered_map<std::string, std::vector<Endpoint>> m_services;
    std::unordered_map<std::string, std::string> m_serviceOfMember;
    std::minstd_rand m_random { 1 };
};

} // namespace shallot
