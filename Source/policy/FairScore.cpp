#include "policy/FairScore.h"

#include "core/Digest.h"
#include "core/RequestID.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

constexpr auto window = std::chrono::milliseconds(100);
constexpr double smoothingFactor = 0.2;
constexpr double minimumTrackedRate = 0.01; // Requests per window; slower organisations are removed
constexpr float maximumFraction = 0.999F;

} // namespace

void FairScore::closeWindow(PriorityClass& requests, TimePoint now)
{
    const double windows = std::max(1.0, std::floor(toSeconds(now - requests.windowStart) / toSeconds(window)));
    requests.windowStart = now;
    requests.largestRate = 0;
    for (auto& [name, rate] : requests.organisations) {
        const double kept = std::pow(1 - smoothingFactor, windows);
        rate.perWindow = kept * rate.perWindow + (1 - kept) * rate.arrivals / windows;
        rate.arrivals = 0;
        requests.largestRate = std::max(requests.largestRate, rate.perWindow);
    }
    std::erase_if(requests.organisations, [](const auto& item) { return item.second.perWindow < minimumTrackedRate; });
}

float FairScore::score(uint8_t priority, const std::string& organisation, const RequestID& id, TimePoint now)
{
    const auto index = std::min<size_t>(priority, classes - 1);
    auto& requests = m_classes[index];
    if (now - requests.windowStart >= window)
        closeWindow(requests, now);
    auto& rate = requests.organisations[organisation];
    ++rate.arrivals;
    const double relativeRate = requests.largestRate > 0 ? std::min(1.0, rate.perWindow / requests.largestRate) : 1;
    const uint64_t hash = stableHash(organisation, id.high ^ id.low);
    const double uniform = static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
    return static_cast<float>(index) + std::min(maximumFraction, static_cast<float>(1 - uniform * relativeRate));
}

} // namespace shallot
