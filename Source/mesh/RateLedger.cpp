#include "mesh/RateLedger.h"

#include "core/Numbers.h"
#include "mesh/MeshSettings.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

constexpr double placeholderRate = 1e-9; // Of a bucket whose plan is only known with the next request

// Refills the bucket and adapts it to the plan and to the current share. After a takeover the bucket starts with a debt, because
// the previous holder of the share may grant from it until it notices the takeover.
void adapt(TokenBucket& bucket, const RatePlan& plan, double share, Duration takeoverDelay, TimePoint heldSince, TimePoint now)
{
    if (bucket.rate <= 0 || bucket.updated < heldSince) {
        bucket.rate = placeholderRate;
        bucket.tokens = 1 - plan.rate * share * toSeconds(takeoverDelay);
        bucket.updated = heldSince;
    }
    // The share between two requests is not known: the smaller of the old and the new one is assumed.
    const double rate = plan.rate * share;
    bucket.rate = bucket.rate > placeholderRate ? std::min(bucket.rate, rate) : rate;
    bucket.burst = std::max(1.0, plan.burst * share);
    bucket.refill(now);
    bucket.rate = rate;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
}

unsigned takeTokens(TokenBucket& bucket, unsigned wanted)
{
    const auto taken = std::min(wanted, saturatedCast<unsigned>(bucket.tokens));
    bucket.tokens -= taken;
    return taken;
}

} // namespace

// Members send heartbeats to the owners of the ledgers that they use. After a gap, another member owns this ledger.
bool RateLedger::isIdle(TimePoint now) const
{
    return now - m_lastContact > m_settings.ledgerIdleTimeout;
}

// The next contact or handover after a gap starts a takeover.
void RateLedger::endIfIdle(TimePoint now)
{
    if (!isIdle(now))
        return;
    m_buckets.clear();
    m_spentUnknown.clear();
    m_contacts.clear();
    m_activeSince = now;
}

void RateLedger::recordContact(const std::string& member, Duration switchedAgo, TimePoint now)
{
    endIfIdle(now);
    m_lastContact = now;
    const bool afterHandover = now - m_handoverAt <= m_settings.shareLease;
    m_contacts[member] = { switchedAgo > Duration::zero() && !afterHandover ? now - switchedAgo : TimePoint(), now };
}

double RateLedger::leasedShare(size_t members, TimePoint now)
{
    std::erase_if(m_contacts, [&](const auto& item) { return now - item.second.lastAt > m_settings.shareLease; });
    const auto leased = std::count_if(m_contacts.begin(), m_contacts.end(),
        [&](const auto& item) { return now - item.second.switchedAt >= m_settings.shareLease; });
    return static_cast<double>(leased) / static_cast<double>(std::max({ members, m_contacts.size(), size_t { 1 } }));
}

RateGrant RateLedger::grant(const std::string& organisation, unsigned wanted, const RatePlan& plan, size_t members, TimePoint now)
{
    if (plan.rate <= 0)
        return { wanted, {} };
    const double share = leasedShare(members, now);
    if (share <= 0)
        return { 0, m_settings.shareLease };
    auto& bucket = m_buckets[organisation];
    adapt(bucket.tokens, plan, share, m_settings.shareLease, m_activeSince, now);
    const auto taken = takeTokens(bucket.tokens, wanted);
    if (taken == wanted)
        return { taken, {} };
    // Each refused request gets a later retry time, so that the retries do not arrive at once.
    const double rate = bucket.tokens.rate;
    bucket.scheduled = std::max(0.0, bucket.scheduled - rate * toSeconds(now - bucket.scheduledAt));
    bucket.scheduledAt = now;
    bucket.scheduled = std::min(bucket.scheduled + (wanted - taken), rate * toSeconds(m_settings.retryAfterMaximum));
    return { taken, fromSeconds(std::max(1 - bucket.tokens.tokens, bucket.scheduled) / rate) };
}

void RateLedger::settle(
    const std::string& organisation, const RateSettlement& settlement, const RatePlan& plan, size_t members, TimePoint now)
{
    const double share = leasedShare(members, now);
    if (plan.rate <= 0 || share <= 0)
        return;
    auto& bucket = m_buckets[organisation].tokens;
    adapt(bucket, plan, share, m_settings.shareLease, m_activeSince, now);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + settlement.unused);
    const auto spentUnknown = m_spentUnknown.extract(organisation);
    const auto spent = settlement.spentLocally + (spentUnknown ? spentUnknown.mapped() : 0);
    // Without contact for longer than the lease, a member's share was not granted from here, so the debt is bounded.
    const double largestDebt = -bucket.rate * toSeconds(m_settings.shareLease);
    bucket.tokens = std::max(bucket.tokens - spent, std::min(bucket.tokens, largestDebt));
}

void RateLedger::settleUnknown(const std::string& organisation, const RateSettlement& settlement)
{
    if (settlement.spentLocally)
        m_spentUnknown[organisation] += settlement.spentLocally;
}

std::map<std::string, double> RateLedger::handOver(TimePoint now)
{
    std::map<std::string, double> tokens;
    endIfIdle(now);
    for (auto& [organisation, bucket] : m_buckets) {
        bucket.tokens.refill(now);
        tokens[organisation] = bucket.tokens.tokens;
    }
    m_buckets.clear();
    m_spentUnknown.clear();
    m_contacts.clear();
    m_lastContact = {};
    return tokens;
}

void RateLedger::acceptHandover(const std::string& organisation, double tokens, TimePoint now)
{
    endIfIdle(now);
    m_lastContact = now;
    auto& item = m_buckets[organisation];
    auto& bucket = item.tokens;
    bucket.refill(now);
    bucket.rate = std::max(bucket.rate, placeholderRate);
    // Members may have contacted this ledger before the handover arrived, which gave it the debt of a takeover. The previous
    // owner grants no more, so the debt is dropped. Later the handover may be an outdated copy or a duplicate.
    const bool isTakeover = now - m_activeSince <= m_settings.shareLease && !item.handedOver;
    bucket.tokens = isTakeover ? tokens : std::min(bucket.tokens, tokens);
    bucket.updated = now;
    item.handedOver = true;
    m_handoverAt = now;
    for (auto& [member, contact] : m_contacts)
        contact.switchedAt = {};
}

RateGrant LocalRateShares::grant(
    const std::string& organisation, unsigned wanted, const RatePlan& plan, size_t members, TimePoint now, TimePoint heldSince)
{
    if (plan.rate <= 0)
        return { wanted, {} };
    auto& bucket = m_buckets[organisation];
    const double share = 1 / static_cast<double>(std::max<size_t>(1, members));
    // A ledger may have granted from the share since its last use.
    if (heldSince == TimePoint() && now - bucket.updated > m_settings.ledgerIdleTimeout)
        heldSince = now;
    adapt(bucket, plan, share, m_settings.shareLease, heldSince, now);
    const auto taken = takeTokens(bucket, wanted);
    return { taken, taken == wanted ? Duration::zero() : fromSeconds((1 - bucket.tokens) / bucket.rate) };
}

} // namespace shallot
