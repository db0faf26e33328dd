#pragma once

#include "mesh/MeshConfiguration.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace shallot {

// One configuration, indexed for look-ups by request. Immutable but for the position within weighted routes.
class RouteTable {
public:
    explicit RouteTable(MeshConfiguration);

    // The route of that host whose prefix is the longest that begins the path; null when there is none.
    const MeshRoute* find(std::string_view host, std::string_view path) const;
    const MeshOrganisation* findByKey(const std::string& key) const;
    // Urgency of a request, 0 first: organisations' ranks go before routes' ranks. Without an organisation, the route's.
    unsigned rankOf(const MeshRoute&, const MeshOrganisation*) const;
    // The service of the next request; parts follow their weights within one request of the exact share.
    const std::string& nextService(const MeshRoute&);
    const MeshConfiguration& configuration() const { return m_configuration; }
    const MeshService* findService(std::string_view name) const;

private:
    MeshConfiguration m_configuration;
    std::map<std::string, std::vector<const MeshRoute*>, std::less<>> m_hosts; // Longest prefix first
    std::unordered_map<std::string, const MeshOrganisation*> m_keys;
    uint8_t m_firstOrganisationRank { 0 };                               // Of the most urgent organisation
    std::unordered_map<const MeshRoute*, std::vector<double>> m_credits; // Smooth weighted round robin
};

} // namespace shallot
