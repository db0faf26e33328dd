#include "limits/OwnershipSystem.h"

#include "core/Digest.h"
#include "log/FleetState.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t witnessesPerMember = 3;
constexpr auto claimDelay = std::chrono::milliseconds(1500); // After joining, so that a starting fleet shares the partitions
constexpr auto voteInterval = std::chrono::seconds(1);
constexpr auto witnessChangeInterval = std::chrono::seconds(1);
// A member that cannot read the log stops lending after this time. One with too few witnesses for a quorum has no other limit.
constexpr auto maximumTimeWithoutLog = std::chrono::hours(24);

bool contains(const std::vector<std::string>& list, const std::string& name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

std::string preferredOwner(const std::vector<std::string>& candidates, const PartitionID& id)
{
    std::string best;
    uint64_t bestScore = 0;
    for (const auto& candidate : candidates) {
        const uint64_t score = stableHash(candidate, stableHash(id.zone, id.partition));
        if (best.empty() || score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

OwnershipActions OwnershipSystem::tick(const OwnershipView& view, TimePoint now)
{
    updateOwnedPartitions(view.fleetState, now);
    const auto* self = view.fleetState.membership().find(m_member);
    if (self && self->witnesses == m_pendingWitnesses)
        m_pendingWitnesses.clear();
    OwnershipActions actions;
    const bool renewalDue = now - view.logConfirmedAt > m_settings.ownerLeaseDuration / 3
        && now - m_lastLeaseRenewal > m_settings.ownerLeaseDuration / 4;
    if (renewalDue && self) {
        m_lastLeaseRenewal = now;
        actions.leaseRenewals = self->witnesses;
        actions.leaseRenewals.insert(actions.leaseRenewals.end(), m_pendingWitnesses.begin(), m_pendingWitnesses.end());
    }
    if (!m_appendPending) {
        maintainMembership(view, actions, now);
        if (actions.appends.empty() && self && !self->endedOffset && now - m_joinedAt >= claimDelay)
            claimPartitions(view, actions, now);
        if (actions.appends.empty() && self && !self->endedOffset)
            revokeDeadMembers(view, actions, now);
        m_appendPending = !actions.appends.empty();
    }
    return actions;
}

void OwnershipSystem::updateOwnedPartitions(const FleetState& fleetState, TimePoint now)
{
    std::erase_if(m_owned, [&](const auto& item) {
        const auto* ownership = fleetState.ownerships().find({ m_zone, item.first });
        return !ownership || ownership->owner != m_member;
    });
    for (uint32_t partition = 0; partition < partitionsPerZone; ++partition) {
        const auto* ownership = fleetState.ownerships().find({ m_zone, partition });
        if (!ownership || ownership->owner != m_member)
            continue;
        auto [owned, isNew] = m_owned.try_emplace(partition);
        if (isNew) {
            Duration wait {};
            if (ownership->wait == OwnerWait::LoanExpiry)
                wait = lenderLoanDuration(m_settings);
            else if (ownership->wait == OwnerWait::Takeover)
                wait = takeoverWait(m_settings);
            owned->second.lendableFrom = now + wait;
        }
        owned->second.epoch = ownership->epoch;
    }
}

std::vector<std::string> OwnershipSystem::chooseWitnesses(const OwnershipView& view) const
{
    // Witnesses are in the member's own zone, so that an isolated zone keeps working. Fewer than two cannot revoke a member.
    std::vector<std::string> witnesses;
    std::copy_if(view.aliveInZone.begin(), view.aliveInZone.end(), std::back_inserter(witnesses),
        [&](const auto& candidate) { return candidate != m_member && view.fleetState.membership().isActive(candidate); });
    if (witnesses.size() < 2)
        return {};
    std::sort(witnesses.begin(), witnesses.end(), [this](const auto& a, const auto& b) {
        return stableHash(a, stableHash(m_member)) < stableHash(b, stableHash(m_member));
    });
    witnesses.resize(std::min(witnesses.size(), witnessesPerMember));
    return witnesses;
}

// Joins the fleet, and replaces lost witnesses while a quorum is left.
void OwnershipSystem::maintainMembership(const OwnershipView& view, OwnershipActions& actions, TimePoint now)
{
    const auto* self = view.fleetState.membership().find(m_member);
    if (!self) {
        actions.appends.emplace_back(JoinEntry { m_member, m_zone, m_address, chooseWitnesses(view) });
        m_joinedAt = now;
        return;
    }
    // Until a change is applied, lease renewal needs majorities of both lists, so none is started while the log may be
    // unavailable.
    const bool logIsFresh = now - view.logConfirmedAt <= m_settings.ownerLeaseDuration / 2;
    if (self->endedOffset || !logIsFresh || now - m_lastWitnessChange < witnessChangeInterval)
        return;
    const auto wanted = chooseWitnesses(view);
    const bool someLost = std::any_of(self->witnesses.begin(), self->witnesses.end(),
        [&](const auto& witness) { return !view.fleetState.membership().isActive(witness) || view.isReportedDead(witness); });
    const bool tooFew = self->witnesses.size() < std::min(witnessesPerMember, wanted.size());
    // An empty list is allowed only when all witnesses have ended: a member without witnesses cannot be revoked, so one that
    // has only lost contact keeps its list.
    const bool allEnded = std::none_of(self->witnesses.begin(), self->witnesses.end(),
        [&](const auto& witness) { return view.fleetState.membership().isActive(witness); });
    const bool acceptable = !wanted.empty() || allEnded;
    if ((someLost || tooFew) && acceptable && wanted != self->witnesses) {
        m_lastWitnessChange = now;
        m_pendingWitnesses = wanted;
        actions.appends.emplace_back(JoinEntry { m_member, m_zone, m_address, wanted });
    }
}

uint32_t OwnershipSystem::targetFraction(const FleetState& fleetState) const
{
    const auto& zones = fleetState.configuration().configuration().zones;
    const auto own = zones.find(m_zone);
    if (own == zones.end())
        return 0;
    uint64_t total = 0;
    for (const auto& [name, zone] : zones)
        total += zone.weight;
    return static_cast<uint32_t>(uint64_t { wholeFractionPpm } * own->second.weight / total);
}

void OwnershipSystem::claimPartitions(const OwnershipView& view, OwnershipActions& actions, TimePoint now)
{
    const uint32_t target = targetFraction(view.fleetState);
    const auto& membership = view.fleetState.membership();
    for (uint32_t partition = 0; partition < partitionsPerZone; ++partition) {
        const PartitionID id { m_zone, partition };
        const auto* ownership = view.fleetState.ownerships().find(id);
        const uint32_t free = view.fleetState.ownerships().freeFraction(partition, m_zone);
        if (!ownership) {
            const uint32_t fraction = std::min(target, free);
            if (fraction && preferredOwner(view.aliveInZone, id) == m_member)
                actions.appends.emplace_back(OwnershipEntry { m_zone, partition, 0, m_member, fraction });
            continue;
        }
        if (!membership.isActive(ownership->owner)) {
            if (preferredOwner(view.aliveInZone, id) == m_member)
                actions.appends.emplace_back(
                    OwnershipEntry { m_zone, partition, ownership->epoch, m_member, ownership->fractionPpm });
            continue;
        }
        if (ownership->owner != m_member)
            continue;
        if (ownership->fractionPpm <= target) {
            m_shrinking.erase(partition);
            const uint32_t fraction = std::min(target, free);
            if (fraction > ownership->fractionPpm)
                actions.appends.emplace_back(OwnershipEntry { m_zone, partition, ownership->epoch, m_member, fraction });
            continue;
        }
        const auto owned = m_owned.find(partition);
        if (owned == m_owned.end() || now < owned->second.lendableFrom)
            continue;
        // Lend at the smaller fraction first, and release the rest only when all loans under the larger one have expired.
        const auto shrinking = m_shrinking.try_emplace(partition, Resize { now }).first;
        if (now - shrinking->second.since >= lenderLoanDuration(m_settings))
            actions.appends.emplace_back(OwnershipEntry { m_zone, partition, ownership->epoch, m_member, target });
    }
}

// The live member with the smallest name in the zone collects votes against members that gossip reports as dead, and appends the
// revocation once there is a quorum.
void OwnershipSystem::revokeDeadMembers(const OwnershipView& view, OwnershipActions& actions, TimePoint now)
{
    const bool isFirst
        = !view.aliveInZone.empty() && *std::min_element(view.aliveInZone.begin(), view.aliveInZone.end()) == m_member;
    if (!isFirst)
        return;
    const bool roundDue = now - m_lastVoteRound >= voteInterval;
    if (roundDue)
        m_lastVoteRound = now;
    for (const auto& [name, member] : view.fleetState.membership().members()) {
        if (member.endedOffset || member.zone != m_zone || name == m_member || !view.isReportedDead(name))
            continue;
        if (m_voteJoinOffsets[name] != member.joinOffset) {
            m_voteJoinOffsets[name] = member.joinOffset;
            m_votes[name].clear();
        }
        auto& votes = m_votes[name];
        if (contains(member.witnesses, m_member) && voteToRevoke(name, true))
            votes.insert(m_member);
        const size_t quorum = revokeQuorum(member.witnesses.size());
        if (quorum && votes.size() >= quorum) {
            actions.appends.emplace_back(RevokeEntry { name, member.joinOffset, { votes.begin(), votes.end() } });
            continue;
        }
        if (!roundDue)
            continue;
        for (const auto& witness : member.witnesses) {
            if (witness != m_member && !votes.contains(witness))
                actions.voteRequests.emplace_back(witness, name);
        }
    }
}

bool OwnershipSystem::voteToRevoke(const std::string& member, bool isReportedDead)
{
    if (!isReportedDead && !m_votedAgainst.contains(member))
        return false;
    m_votedAgainst.insert(member);
    return true;
}

void OwnershipSystem::onRevocationVote(const std::string& witness, const std::string& member, uint64_t joinOffset)
{
    if (m_voteJoinOffsets[member] == joinOffset)
        m_votes[member].insert(witness);
}

void OwnershipSystem::onLeaseRenewed(const std::string& witness, TimePoint sentAt)
{
    auto& renewedAt = m_leaseRenewedAt[witness];
    renewedAt = std::max(renewedAt, sentAt);
}

bool OwnershipSystem::holdsLease(const FleetState& fleetState, TimePoint logConfirmedAt, TimePoint now) const
{
    const auto* self = fleetState.membership().find(m_member);
    if (!self || self->endedOffset)
        return false;
    if (logConfirmedAt != TimePoint() && now - logConfirmedAt <= m_settings.ownerLeaseDuration)
        return true;
    if (logConfirmedAt == TimePoint() || now - logConfirmedAt > maximumTimeWithoutLog)
        return false;
    // Until a change of witnesses is applied, this member may be revoked by a quorum of either list, so both must renew.
    return isLeaseRenewedBy(self->witnesses, now) && (m_pendingWitnesses.empty() || isLeaseRenewedBy(m_pendingWitnesses, now));
}

bool OwnershipSystem::isLeaseRenewedBy(const std::vector<std::string>& witnesses, TimePoint now) const
{
    const auto renewals = std::count_if(witnesses.begin(), witnesses.end(), [&](const auto& witness) {
        const auto found = m_leaseRenewedAt.find(witness);
        return found != m_leaseRenewedAt.end() && now - found->second <= m_settings.ownerLeaseDuration;
    });
    return static_cast<size_t>(renewals) >= revokeQuorum(witnesses.size());
}

void OwnershipSystem::onAppendsCompleted(bool neverSent)
{
    m_appendPending = false;
    if (neverSent)
        m_pendingWitnesses.clear();
}

uint32_t OwnershipSystem::lendableFraction(const FleetState& fleetState, uint32_t partition, TimePoint now) const
{
    const auto owned = m_owned.find(partition);
    const auto* ownership = fleetState.ownerships().find({ m_zone, partition });
    if (owned == m_owned.end() || !ownership || ownership->owner != m_member || now < owned->second.lendableFrom)
        return 0;
    return std::min(
        ownership->fractionPpm, m_shrinking.contains(partition) ? targetFraction(fleetState) : ownership->fractionPpm);
}

std::vector<LogEntry> OwnershipSystem::transferAll(
    const FleetState& fleetState, const std::vector<std::string>& successors, TimePoint now) const
{
    std::vector<LogEntry> entries;
    std::vector<std::string> candidates;
    std::copy_if(successors.begin(), successors.end(), std::back_inserter(candidates),
        [&](const auto& name) { return name != m_member && fleetState.membership().isActive(name); });
    for (const auto& [id, ownership] : fleetState.ownerships().partitions()) {
        if (ownership.owner != m_member || candidates.empty())
            continue;
        const auto owned = m_owned.find(id.partition);
        const bool cleanTransfer = owned != m_owned.end() && now >= owned->second.lendableFrom;
        entries.emplace_back(OwnershipEntry {
            id.zone, id.partition, ownership.epoch, preferredOwner(candidates, id), ownership.fractionPpm, cleanTransfer });
    }
    entries.emplace_back(LeaveEntry { m_member });
    return entries;
}

} // namespace shallot
