#include "mesh/RateLedger.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

constexpr double unknownRate = 1e-9; // Of a bucket whose plan comes with the next request

// A bucket begins with a debt when its holder takes over the part: another member may deal it until it notices.
void adapt(TokenBucket& bucket, const RatePlan& plan, double part, Duration takeoverDelay, TimePoint heldSince, TimePoint now)
{
    if (bucket.rate <= 0 || bucket.updated < heldSince) {
        bucket.rate = unknownRate;
        bucket.tokens = 1 - plan.rate * part * toSeconds(takeoverDelay);
        bucket.updated = heldSince;
    }
    // What was held between two requests is not known: the smaller of both parts.
    const double rate = plan.rate * part;
    bucket.rate = bucket.rate > unknownRate ? std::min(bucket.rate, rate) : rate;
    bucket.burst = std::max(1.0, plan.burst * part);
    bucket.refill(now);
    bucket.rate = rate;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
}

unsigned take(TokenBucket& bucket, unsigned wanted)
{
    const auto taken = std::min(wanted, static_cast<unsigned>(std::max(0.0, bucket.tokens)));
    bucket.tokens -= taken;
    return taken;
}

} // namespace

void RateLedger::recordContact(const std::string& member, Duration movedAgo, TimePoint now)
{
    // Members greet the ledgers that they ask. After a silence this one takes over from another.
    if (now - m_lastHeard > m_settings.ledgerSilence) {
        m_buckets.clear();
        m_heard.clear();
        m_activeSince = now;
    }
    m_lastHeard = now;
    const bool cameWithLedger = now - m_takenOverAt <= m_settings.ledgerMemory;
    m_heard[member] = { movedAgo > Duration::zero() && !cameWithLedger ? now - movedAgo : TimePoint(), now };
}

double RateLedger::heardPart(size_t members, TimePoint now)
{
    std::erase_if(m_heard, [&](const auto& item) { return now - item.second.last > m_settings.ledgerMemory; });
    const auto held = std::count_if(
        m_heard.begin(), m_heard.end(), [&](const auto& item) { return now - item.second.movedAt >= m_settings.ledgerMemory; });
    return static_cast<double>(held) / static_cast<double>(std::max({ members, m_heard.size(), size_t { 1 } }));
}

RateGrant RateLedger::grant(const std::string& organisation, unsigned wanted, const RatePlan& plan, size_t members, TimePoint now)
{
    if (plan.rate <= 0)
        return { wanted, {} };
    const double part = heardPart(members, now);
    if (part <= 0)
        return { 0, m_settings.ledgerMemory };
    auto& bucket = m_buckets[organisation];
    adapt(bucket.tokens, plan, part, m_settings.ledgerMemory, m_activeSince, now);
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

void RateLedger::settle(
    const std::string& organisation, const RateSettlement& settlement, const RatePlan& plan, size_t members, TimePoint now)
{
    const double part = heardPart(members, now);
    if (plan.rate <= 0 || part <= 0)
        return;
    auto& bucket = m_buckets[organisation].tokens;
    adapt(bucket, plan, part, m_settings.ledgerMemory, m_activeSince, now);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + settlement.unused);
    // A member that was not heard from for longer had no part in what was dealt here.
    const double largestDebt = -bucket.rate * toSeconds(m_settings.ledgerMemory);
    bucket.tokens = std::max(bucket.tokens - settlement.spentLocally, std::min(bucket.tokens, largestDebt));
}

std::map<std::string, double> RateLedger::handOver(TimePoint now)
{
    std::map<std::string, double> tokens;
    for (auto& [organisation, bucket] : m_buckets) {
        bucket.tokens.refill(now);
        tokens[organisation] = bucket.tokens.tokens;
    }
    m_buckets.clear();
    m_heard.clear();
    m_lastHeard = {};
    return tokens;
}

void RateLedger::acceptHandover(const std::string& organisation, double tokens, TimePoint now)
{
    auto& bucket = m_buckets[organisation].tokens;
    // Members may have greeted this ledger already and left it a debt; the former keeper deals no more, so that falls away.
    bucket.rate = std::max(bucket.rate, unknownRate);
    bucket.tokens = tokens;
    bucket.updated = now;
    m_lastHeard = now;
    m_takenOverAt = now;
    for (auto& [member, hearing] : m_heard)
        hearing.movedAt = {};
}

RateGrant LocalRateShares::grant(
    const std::string& organisation, unsigned wanted, const RatePlan& plan, size_t members, TimePoint now)
{
    if (plan.rate <= 0)
        return { wanted, {} };
    auto& bucket = m_buckets[organisation];
    const double part = 1 / static_cast<double>(std::max<size_t>(1, members));
    const bool outOfUse = now - bucket.updated > m_settings.ledgerSilence;
    adapt(bucket, plan, part, m_settings.ledgerMemory, outOfUse ? now : TimePoint {}, now);
    const auto taken = take(bucket, wanted);
    return { taken, taken == wanted ? Duration::zero() : fromSeconds((1 - bucket.tokens) / bucket.rate) };
}

} // namespace shallot
