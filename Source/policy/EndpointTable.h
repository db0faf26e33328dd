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

// One daemon with its backend server, as this daemon sees it. Load is what this daemon measures, not what is reported.
struct Endpoint {
    std::string member;
    std::string zone;
    std::string address; // Peer link; empty for this daemon itself
    std::string service;
    uint32_t slots { 1 };
    bool available { true };     // Announced, neither draining nor dead
    uint32_t inFlight { 0 };     // Calls of this daemon
    double latencySeconds { 0 }; // Average of this daemon's calls; 0 before the first
    TimePoint avoidUntil {};     // After a refusal or failure
};

// Endpoints by service, and the choice between them.
class EndpointTable {
public:
    EndpointTable(const PolicySettings& settings, std::string zone)
        : m_settings(settings)
        , m_zone(std::move(zone))
    {
    }

    // Adds or changes an endpoint; what was measured about it stays.
    void update(Endpoint);
    void remove(std::string_view member);
    Endpoint* find(std::string_view member);

    // The better of two random endpoints of the own zone, of any zone when the own one has none to offer.
    // Skips the members in `tried`. Null when no endpoint is left.
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
