#include "mesh/RateShares.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

// A new bucket starts nearly empty: after a restart nobody knows what was spent before it.
void adapt(TokenBucket& bucket, const RatePlan& plan, double part, double initialFill, TimePoint now)
{
    const bool fresh = bucket.rate <= 0;
    bucket.refill(now);
    bucket.updated = now;
    bucket.rate = plan.rate * part;
    bucket.burst = std::max(1.0, plan.burst * part);
    bucket.tokens = fresh ? std::max(1.0, initialFill * bucket.burst) : std::min(bucket.tokens, bucket.burst);
}

unsigned take(TokenBucket& bucket, unsigned wanted)
{
    const auto taken = std::min(wanted, static_cast<unsigned>(bucket.tokens));
    bucket.tokens -= taken;
    return taken;
}

} // namespace

double RateLedger::heardPart(size_t members, TimePoint now)
{
    std::erase_if(m_heard, [&](const auto& item) { return now - item.second > m_settings.ledgerMemory; });
    const auto heard = std::max<size_t>(1, m_heard.size());
    return static_cast<double>(heard) / static_cast<double>(std::max(members, heard));
}

RateGrant RateLedger::grant(
    const std::string& organisation, unsigned wanted, const RatePlan& plan, size_t members, TimePoint now)
{
    if (plan.rate <= 0)
        return { wanted, {} };
    auto& bucket = m_buckets[organisation];
    adapt(bucket.tokens, plan, heardPart(members, now), m_settings.initialFill, now);
    const auto taken = take(bucket.tokens, wanted);
    if (taken == wanted)
        return { taken, {} };
    // Each refused request is given a later place in the same queue, so that those that return do not meet each other.
    const double rate = bucket.tokens.rate;
    bucket.promised = std::max(0.0, bucket.promised - rate * toSeconds(now - bucket.promisedAt));
    bucket.promisedAt = now;
    bucket.promised = std::min(bucket.promised + (wanted - taken), rate * toSeconds(m_settings.retryAfterMaximum));
    return { taken, fromSeconds(std::max(1 - bucket.tokens.tokens, bucket.promised) / rate) };
}

RateGrant RateParts::grant(
    const std::string& organisation, unsigned wanted, const RatePlan& plan, size_t members, TimePoint now)
{
    if (plan.rate <= 0)
        return { wanted, {} };
    auto& bucket = m_buckets[organisation];
    adapt(bucket, plan, 1 / static_cast<double>(std::max<size_t>(1, members)), m_settings.initialFill, now);
    const auto taken = take(bucket, wanted);
    return { taken, taken == wanted ? Duration::zero() : fromSeconds((1 - bucket.tokens) / bucket.rate) };
}

} // namespace shallot
