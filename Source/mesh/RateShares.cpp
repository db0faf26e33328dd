#include "mesh/RateShares.h"

#include "mesh/MeshSettings.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr double demandWeight = 0.5;    // Weight of the newest interval in the averaged demand
constexpr double idlePart = 0.2;        // Part of a pool that is dealt evenly, so that a member without demand can begin
constexpr double initialFill = 0.2;     // Part of the burst in a new bucket: after a restart nobody knows what was spent
constexpr double forgottenDemand = 0.01; // Requests a second

} // namespace

std::vector<RateShare> RateLedger::grant(
    const std::string& member, const std::vector<RateDemand>& demands, size_t members, TimePoint now)
{
    m_heard[member] = now;
    std::erase_if(m_heard, [&](const auto& item) { return now - item.second > m_settings.shareLifetime; });
    const double heard = static_cast<double>(m_heard.size());
    const double pool = std::min(1.0, heard / static_cast<double>(std::max(members, m_heard.size())));
    std::vector<RateShare> shares;
    for (const auto& demand : demands) {
        auto& holders = m_demands[demand.organisation];
        holders[member] = { demand.perSecond, now };
        std::erase_if(holders, [&](const auto& item) { return now - item.second.heard > m_settings.shareLifetime; });
        double total = 0;
        for (const auto& [name, holder] : holders)
            total += holder.perSecond;
        const double part = total > 0 ? demand.perSecond / total : 1 / heard;
        shares.push_back({ demand.organisation, pool * (idlePart / heard + (1 - idlePart) * part) });
    }
    return shares;
}

bool RateBuckets::tryTake(const std::string& organisation, double rate, double burst, size_t members, TimePoint now)
{
    auto& bucket = m_buckets[organisation];
    ++bucket.arrivals;
    if (rate <= 0)
        return true;
    const double equalPart = 1 / static_cast<double>(std::max<size_t>(1, members));
    const double part = bucket.partUntil > now ? bucket.part : equalPart;
    auto& tokens = bucket.tokens;
    tokens.refill(now);
    const bool fresh = tokens.burst <= 0;
    tokens.rate = rate * part;
    tokens.burst = std::max(1.0, burst * part);
    tokens.tokens = fresh ? std::max(1.0, initialFill * tokens.burst) : std::min(tokens.tokens, tokens.burst);
    tokens.updated = now;
    return tokens.tryTake(now);
}

Duration RateBuckets::retryAfter(const std::string& organisation, TimePoint now) const
{
    const auto found = m_buckets.find(organisation);
    if (found == m_buckets.end() || found->second.tokens.rate <= 0)
        return {};
    const auto& tokens = found->second.tokens;
    const double missing = std::max(0.0, 1 - tokens.tokens) / tokens.rate;
    return std::max(Duration::zero(), fromSeconds(missing) - (now - tokens.updated));
}

void RateBuckets::applyShare(const RateShare& share, TimePoint now)
{
    auto& bucket = m_buckets[share.organisation];
    bucket.part = std::clamp(share.part, 0.0, 1.0);
    bucket.partUntil = now + m_settings.shareLifetime;
}

std::vector<RateDemand> RateBuckets::takeDemands(TimePoint now)
{
    const double seconds = std::max(0.05, toSeconds(now - m_countedSince));
    m_countedSince = now;
    std::vector<RateDemand> demands;
    for (auto& [organisation, bucket] : m_buckets) {
        const double perSecond = bucket.arrivals / seconds;
        bucket.arrivals = 0;
        bucket.perSecond += demandWeight * (perSecond - bucket.perSecond);
        // A rising demand is told at once: a share that lags behind it refuses requests inside the rate.
        const double told = std::max(perSecond, bucket.perSecond);
        if (told > forgottenDemand)
            demands.push_back({ organisation, told });
    }
    return demands;
}

} // namespace shallot
