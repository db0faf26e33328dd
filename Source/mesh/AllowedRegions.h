#pragma once

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

// The regions in which a request may run, by its route and by its organisation; an empty list allows all regions.
struct AllowedRegions {
    std::span<const std::string> byRoute;
    std::span<const std::string> byOrganisation;

    bool isLimited() const { return !byRoute.empty() || !byOrganisation.empty(); }
    // `region`: empty if it is not known.
    bool allow(std::string_view region) const { return allows(byRoute, region) && allows(byOrganisation, region); }

private:
    static bool allows(std::span<const std::string> regions, std::string_view region)
    {
        return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
    }
};

} // namespace shallot
