#pragma once

#include "config/Configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace shallot {

// Index of a configuration for the look-ups of the request path: by key digest, by path and by organisation.
class ConfigurationIndex {
public:
    struct NamedRoute {
        std::string name;
        Route route;
    };

    struct IndexedOrganisation {
        std::string name;
        std::string plan;
        double rate { 0 };
        double burst { 0 };
        std::unordered_set<std::string> routes;
    };

    ConfigurationIndex() = default;
    explicit ConfigurationIndex(const Configuration&);

    const IndexedOrganisation* findByKeyDigest(const std::string& digest) const;
    const IndexedOrganisation* findOrganisation(const std::string& name) const;
    // Returns the route with the longest path prefix that matches at a "/" boundary; null when no route matches.
    const NamedRoute* findRoute(std::string_view path) const;

private:
    std::unordered_map<std::string, IndexedOrganisation> m_organisations;
    std::unordered_map<std::string, std::string> m_organisationOfDigest;
    std::unordered_map<std::string, NamedRoute> m_routesByPath;
};

} // namespace shallot
