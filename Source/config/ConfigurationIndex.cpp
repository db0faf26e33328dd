#include "config/ConfigurationIndex.h"

namespace shallot {

ConfigurationIndex::ConfigurationIndex(const Configuration& configuration)
{
    for (const auto& [name, organisation] : configuration.organisations) {
        const auto plan = configuration.plans.find(organisation.plan);
        if (plan == configuration.plans.end())
            continue;
        m_organisations[name] = { name, organisation.plan, plan->second.rate, plan->second.burst,
            { plan->second.routes.begin(), plan->second.routes.end() } };
        for (const auto& digest : organisation.keyDigests)
            m_organisationOfDigest[digest] = name;
    }
    for (const auto& [name, route] : configuration.routes)
        m_routesByPath[route.path] = { name, route };
}

const ConfigurationIndex::IndexedOrganisation* ConfigurationIndex::findByKeyDigest(const std::string& digest) const
{
    const auto found = m_organisationOfDigest.find(digest);
    return found == m_organisationOfDigest.end() ? nullptr : findOrganisation(found->second);
}

const ConfigurationIndex::IndexedOrganisation* ConfigurationIndex::findOrganisation(const std::string& name) const
{
    const auto found = m_organisations.find(name);
    return found == m_organisations.end() ? nullptr : &found->second;
}

const ConfigurationIndex::NamedRoute* ConfigurationIndex::findRoute(std::string_view path) const
{
    // Shortens the path by one segment at a time, so the cost depends on its depth and not on the number of routes.
    while (!path.empty()) {
        if (const auto found = m_routesByPath.find(std::string(path)); found != m_routesByPath.end())
            return &found->second;
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos || !slash)
            break;
        path = path.substr(0, slash);
    }
    const auto root = m_routesByPath.find("/");
    return root == m_routesByPath.end() ? nullptr : &root->second;
}

} // namespace shallot
