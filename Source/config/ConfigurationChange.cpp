#include "config/ConfigurationChange.h"

#include <cmath>
#include <set>

namespace shallot {

namespace {

using List = ConfigurationChange::List;

constexpr double maximumRate = 1e6;  // Requests per second
constexpr double maximumBurst = 1e6; // Requests
constexpr uint32_t maximumTimeoutMs = 60'000;
constexpr uint32_t maximumZoneWeight = 1000;
constexpr size_t maximumNameLength = 128;
constexpr size_t digestLength = 64;

template <typename Item>
void appendDifference(std::vector<ConfigurationChange>& changes, List list, const std::map<std::string, Item>& from,
    const std::map<std::string, Item>& to)
{
    for (const auto& [name, item] : to) {
        const auto found = from.find(name);
        if (found == from.end() || !(found->second == item))
            changes.push_back({ list, name, item });
    }
    for (const auto& [name, item] : from) {
        if (!to.contains(name))
            changes.push_back({ list, name, std::monostate() });
    }
}

template <typename Item> void setOrRemove(std::map<std::string, Item>& items, const ConfigurationChange& change)
{
    if (const auto* item = std::get_if<Item>(&change.value))
        items[change.name] = *item;
    else
        items.erase(change.name);
}

tl::unexpected<Error> invalid(std::string_view list, const std::string& name, std::string_view problem)
{
    return fail(ErrorKind::EditInvalid, std::string(list) + " \"" + name + "\": " + std::string(problem));
}

bool isName(const std::string& name)
{
    return !name.empty() && name.size() <= maximumNameLength;
}

bool isDigest(const std::string& text)
{
    return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Result<void> validateOrganisations(const Configuration& configuration)
{
    std::set<std::string_view> digests;
    for (const auto& [name, organisation] : configuration.organisations) {
        if (!isName(name))
            return invalid("organisation", name, "the name must have 1 to 128 characters");
        if (!configuration.plans.contains(organisation.plan))
            return invalid("organisation", name, "plan \"" + organisation.plan + "\" does not exist");
        for (const auto& digest : organisation.keyDigests) {
            if (!isDigest(digest))
                return invalid("organisation", name, "a key digest must have 64 lower-case hexadecimal digits");
            if (!digests.insert(digest).second)
                return invalid("organisation", name, "a key is already in use");
        }
    }
    return {};
}

Result<void> validatePlans(const Configuration& configuration)
{
    for (const auto& [name, plan] : configuration.plans) {
        if (!isName(name))
            return invalid("plan", name, "the name must have 1 to 128 characters");
        if (!std::isfinite(plan.rate) || plan.rate < 0 || plan.rate > maximumRate)
            return invalid("plan", name, "the rate must be between 0 and 1000000 a second");
        if (!std::isfinite(plan.burst) || plan.burst < 1 || plan.burst > maximumBurst)
            return invalid("plan", name, "the burst must be between 1 and 1000000");
        for (const auto& route : plan.routes) {
            if (!configuration.routes.contains(route))
                return invalid("plan", name, "route \"" + route + "\" does not exist");
        }
    }
    return {};
}

Result<void> validateRoutes(const Configuration& configuration)
{
    std::set<std::string_view> paths;
    for (const auto& [name, route] : configuration.routes) {
        if (!isName(name))
            return invalid("route", name, "the name must have 1 to 128 characters");
        if (route.path.empty() || route.path.front() != '/')
            return invalid("route", name, "the path must begin with \"/\"");
        if (!paths.insert(route.path).second)
            return invalid("route", name, "path \"" + route.path + "\" is already in use");
        if (route.service.empty())
            return invalid("route", name, "the service is missing");
        if (route.priority > 7)
            return invalid("route", name, "the priority must be between 0 and 7");
        if (!route.timeoutMs || route.timeoutMs > maximumTimeoutMs)
            return invalid("route", name, "the timeout must be between 1 and 60000 ms");
    }
    return {};
}

Result<void> validateZones(const Configuration& configuration)
{
    for (const auto& [name, zone] : configuration.zones) {
        if (!isName(name))
            return invalid("zone", name, "the name must have 1 to 128 characters");
        if (!zone.weight || zone.weight > maximumZoneWeight)
            return invalid("zone", name, "the weight must be between 1 and 1000");
    }
    return {};
}

} // namespace

std::string_view toString(List list)
{
    switch (list) {
    case List::Organisations:
        return "organisations";
    case List::Plans:
        return "plans";
    case List::Routes:
        return "routes";
    case List::Zones:
        return "zones";
    }
    return "unknown";
}

std::vector<ConfigurationChange> difference(const Configuration& from, const Configuration& to)
{
    std::vector<ConfigurationChange> changes;
    appendDifference(changes, List::Organisations, from.organisations, to.organisations);
    appendDifference(changes, List::Plans, from.plans, to.plans);
    appendDifference(changes, List::Routes, from.routes, to.routes);
    appendDifference(changes, List::Zones, from.zones, to.zones);
    return changes;
}

void applyChanges(Configuration& configuration, const std::vector<ConfigurationChange>& changes)
{
    for (const auto& change : changes) {
        switch (change.list) {
        case List::Organisations:
            setOrRemove(configuration.organisations, change);
            break;
        case List::Plans:
            setOrRemove(configuration.plans, change);
            break;
        case List::Routes:
            setOrRemove(configuration.routes, change);
            break;
        case List::Zones:
            setOrRemove(configuration.zones, change);
            break;
        }
    }
}

Result<void> validate(const Configuration& configuration)
{
    if (auto result = validateOrganisations(configuration); !result)
        return result;
    if (auto result = validatePlans(configuration); !result)
        return result;
    if (auto result = validateRoutes(configuration); !result)
        return result;
    return validateZones(configuration);
}

} // namespace shallot
