#include "mesh/RouteTable.h"

#include <algorithm>

namespace shallot {

RouteTable::RouteTable(MeshConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& route : m_configuration.routes)
        m_hosts[route.host].push_back(&route);
    for (auto& [host, routes] : m_hosts) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const auto* a, const auto* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    std::optional<uint8_t> firstRank;
    for (const auto& organisation : m_configuration.organisations) {
        if (organisation.rank)
            firstRank = std::min(firstRank.value_or(*organisation.rank), *organisation.rank);
        for (const auto& key : organisation.keys)
            m_keys[key] = &organisation;
    }
    m_firstOrganisationRank = firstRank.value_or(0);
}

const MeshRoute* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const auto* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const MeshOrganisation* RouteTable::findByKey(const std::string& key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second;
}

unsigned RouteTable::rankOf(const MeshRoute& route, const MeshOrganisation* organisation) const
{
    constexpr unsigned routeRanks = 3; // Number of route ranks that are distinguished within one organisation's rank
    const unsigned routeRank = std::min<unsigned>(route.rank, routeRanks - 1);
    if (!organisation || !organisation->rank)
        return routeRank;
    return (*organisation->rank - m_firstOrganisationRank) * routeRanks + routeRank;
}

const MeshOrganisation* RouteTable::findOrganisation(std::string_view name) const
{
    for (const auto& organisation : m_configuration.organisations) {
        if (organisation.name == name)
            return &organisation;
    }
    return nullptr;
}

const MeshService* RouteTable::findService(std::string_view name) const
{
    for (const auto& service : m_configuration.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

const std::string& RouteTable::nextService(const MeshRoute& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& credits = m_credits[&route];
    credits.resize(route.services.size());
    double total = 0;
    for (size_t i = 0; i < credits.size(); ++i) {
        credits[i] += route.services[i].weight;
        total += route.services[i].weight;
    }
    const auto chosen = static_cast<size_t>(std::max_element(credits.begin(), credits.end()) - credits.begin());
    credits[chosen] -= total;
    return route.services[chosen].service;
}

} // namespace shallot
