#pragma once

#include "mesh/MeshConfiguration.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace shallot {

// A configuration, indexed for look-ups by request. Immutable except for the round-robin state of weighted routes.
class RouteTable {
public:
    explicit RouteTable(MeshConfiguration);

    // The route of the host with the longest path prefix that matches; null if there is none. A query in `path` is ignored.
    const MeshRoute* find(std::string_view host, std::string_view path) const;
    const MeshOrganisation* findByKey(const std::string& key) const;
    // Rank of a request, 0 is the most urgent. The organisation's rank takes precedence over the route's; without an
    // organisation, or if it has no rank, the route's rank alone counts.
    unsigned rankOf(const MeshRoute&, const MeshOrganisation*) const;
    // The service for the next request; each service's share deviates from its weight by at most one request.
    const std::string& nextService(const MeshRoute&);
    const MeshConfiguration& configuration() const { return m_configuration; }
    const MeshOrganisation* findOrganisation(std::string_view name) const;
    const MeshService* findService(std::string_view name) const;

private:
    MeshConfiguration m_configuration;
    std::map<std::string, std::vector<const MeshRoute*>, std::less<>> m_hosts; // Longest prefix first
    std::unordered_map<std::string, const MeshOrganisation*> m_keys;
    uint8_t m_firstOrganisationRank { 0 };                               // Rank of the most urgent organisation
    std::unordered_map<const MeshRoute*, std::vector<double>> m_credits; // Smooth weighted round robin
};

} // namespace shallot
