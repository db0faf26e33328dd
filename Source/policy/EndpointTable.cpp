#include "policy/EndpointTable.h"

#include "policy/PolicySettings.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr int maximumSamples = 8; // Random samples before a linear scan; keeps the cost independent of the number of endpoints

bool isTried(const std::vector<std::string>& tried, const std::string& member)
{
    return std::find(tried.begin(), tried.end(), member) != tried.end();
}

} // namespace

void EndpointTable::update(Endpoint endpoint)
{
    auto* existing = find(endpoint.member);
    if (existing && existing->service == endpoint.service) {
        existing->zone = std::move(endpoint.zone);
        existing->address = std::move(endpoint.address);
        existing->slots = endpoint.slots;
        existing->available = endpoint.available;
        return;
    }
    if (existing)
        remove(endpoint.member);
    m_serviceOfMember[endpoint.member] = endpoint.service;
    auto& endpoints = m_services[endpoint.service];
    endpoints.push_back(std::move(endpoint));
}

void EndpointTable::remove(std::string_view member)
{
    const auto found = m_serviceOfMember.find(std::string(member));
    if (found == m_serviceOfMember.end())
        return;
    auto& endpoints = m_services[found->second];
    std::erase_if(endpoints, [member](const auto& endpoint) { return endpoint.member == member; });
    if (endpoints.empty())
        m_services.erase(found->second);
    m_serviceOfMember.erase(found);
}

Endpoint* EndpointTable::find(std::string_view member)
{
    const auto found = m_serviceOfMember.find(std::string(member));
    if (found == m_serviceOfMember.end())
        return nullptr;
    auto& endpoints = m_services[found->second];
    const auto endpoint
        = std::find_if(endpoints.begin(), endpoints.end(), [member](const auto& item) { return item.member == member; });
    return endpoint == endpoints.end() ? nullptr : &*endpoint;
}

double EndpointTable::cost(const Endpoint& endpoint) const
{
    const double latency = std::max(endpoint.latencySeconds, 1e-4);
    return (endpoint.inFlight + 1) * latency / std::max<uint32_t>(1, endpoint.slots);
}

Endpoint* EndpointTable::chooseFrom(std::vector<Endpoint>& endpoints, TimePoint now, const std::vector<std::string>& tried,
    bool localZoneOnly, bool avoidPenalised)
{
    const auto isCandidate = [&](const Endpoint& endpoint) {
        return endpoint.available && (!localZoneOnly || endpoint.zone == m_zone)
            && (!avoidPenalised || endpoint.avoidUntil <= now) && !isTried(tried, endpoint.member);
    };
    Endpoint* first = nullptr;
    for (int i = 0; i < maximumSamples; ++i) {
        auto& sampled = endpoints[m_random() % endpoints.size()];
        if (!isCandidate(sampled) || &sampled == first)
            continue;
        if (first)
            return cost(sampled) < cost(*first) ? &sampled : first;
        first = &sampled;
    }
    if (first)
        return first;
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), isCandidate);
    return found == endpoints.end() ? nullptr : &*found;
}

Endpoint* EndpointTable::choose(std::string_view service, TimePoint now, const std::vector<std::string>& tried)
{
    const auto found = m_services.find(std::string(service));
    if (found == m_services.end() || found->second.empty())
        return nullptr;
    for (const bool avoidPenalised : { true, false }) {
        for (const bool localZoneOnly : { true, false }) {
            if (auto* endpoint = chooseFrom(found->second, now, tried, localZoneOnly, avoidPenalised))
                return endpoint;
        }
    }
    return nullptr;
}

void EndpointTable::recordStart(std::string_view member)
{
    if (auto* endpoint = find(member))
        ++endpoint->inFlight;
}

void EndpointTable::recordEnd(std::string_view member, Duration latency)
{
    auto* endpoint = find(member);
    if (!endpoint)
        return;
    if (endpoint->inFlight)
        --endpoint->inFlight;
    const double weight = endpoint->latencySeconds > 0 ? m_settings.latencyWeight : 1;
    endpoint->latencySeconds += weight * (toSeconds(latency) - endpoint->latencySeconds);
}

void EndpointTable::recordRefusal(std::string_view member, TimePoint now)
{
    if (auto* endpoint = find(member))
        endpoint->avoidUntil = std::max(endpoint->avoidUntil, now + m_settings.refusalPenalty);
}

void EndpointTable::recordFailure(std::string_view member, TimePoint now)
{
    if (auto* endpoint = find(member))
        endpoint->avoidUntil = std::max(endpoint->avoidUntil, now + m_settings.failurePenalty);
}

size_t EndpointTable::countAvailable(std::string_view service) const
{
    const auto found = m_services.find(std::string(service));
    if (found == m_services.end())
        return 0;
    return static_cast<size_t>(
        std::count_if(found->second.begin(), found->second.end(), [](const auto& item) { return item.available; }));
}

} // namespace shallot
