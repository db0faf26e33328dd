#include "limits/OwnershipSystem.h"

#include "core/Digest.h"
#include "log/FleetState.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr size_t wantedWitnesses = 3;
constexpr auto settleTime = std::chrono::milliseconds(1500); // After joining, so that a fleet that starts shares the parts
constexpr auto promiseRound = std::chrono::seconds(1);
constexpr auto witnessChangePause = std::chrono::seconds(1);
constexpr auto longestOffline = std::chrono::hours(24); // A member with too few witnesses to judge it stops after this

bool contains(const std::vector<std::string>& list, const std::string& name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

std::string preferredOwner(const std::vector<std::string>& candidates, const PartID& id)
{
    std::string best;
    uint64_t bestScore = 0;
    for (const auto& candidate : candidates) {
        const uint64_t score = stableHash(candidate, stableHash(id.zone, id.part));
        if (best.empty() || score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

OwnershipActions OwnershipSystem::tick(const OwnershipView& view, TimePoint now)
{
    noteOwnerships(view.fold, now);
    const auto* self = view.fold.membership().find(m_member);
    if (self && self->witnesses == m_nextWitnesses)
        m_nextWitnesses.clear();
    OwnershipActions actions;
    const bool probesDue
        = now - view.logConfirmedAt > m_settings.contactLapse / 3 && now - m_lastWitnessProbe > m_settings.contactLapse / 4;
    if (probesDue && self) {
        m_lastWitnessProbe = now;
        actions.leaseRenewals = self->witnesses;
        actions.leaseRenewals.insert(actions.leaseRenewals.end(), m_nextWitnesses.begin(), m_nextWitnesses.end());
    }
    if (!m_appendPending) {
        maintainMembership(view, actions, now);
        if (actions.appends.empty() && self && !self->endedOffset && now - m_joinedAt >= settleTime)
            claimParts(view, actions, now);
        if (actions.appends.empty() && self && !self->endedOffset)
            revokeDead(view, actions, now);
        m_appendPending = !actions.appends.empty();
    }
    return actions;
}

void OwnershipSystem::noteOwnerships(const FleetState& fold, TimePoint now)
{
    std::erase_if(m_owned, [&](const auto& item) {
        const auto* ownership = fold.ownerships().find({ m_zone, item.first });
        return !ownership || ownership->owner != m_member;
    });
    for (uint32_t part = 0; part < partsPerZone; ++part) {
        const auto* ownership = fold.ownerships().find({ m_zone, part });
        if (!ownership || ownership->owner != m_member)
            continue;
        auto [owned, isNew] = m_owned.try_emplace(part);
        if (isNew) {
            Duration wait {};
            if (ownership->wait == OwnerWait::Loans)
                wait = lenderLoanTime(m_settings);
            else if (ownership->wait == OwnerWait::Takeover)
                wait = takeoverWait(m_settings);
            owned->second.usableFrom = now + wait;
        }
        owned->second.epoch = ownership->epoch;
    }
}

std::vector<std::string> OwnershipSystem::chooseWitnesses(const OwnershipView& view) const
{
    // Only members of the own zone: one that is cut off should go on by itself. Fewer than two could not judge.
    std::vector<std::string> witnesses;
    std::copy_if(view.aliveInZone.begin(), view.aliveInZone.end(), std::back_inserter(witnesses),
        [&](const auto& candidate) { return candidate != m_member && view.fold.membership().isActive(candidate); });
    if (witnesses.size() < 2)
        return {};
    std::sort(witnesses.begin(), witnesses.end(), [this](const auto& a, const auto& b) {
        return stableHash(a, stableHash(m_member)) < stableHash(b, stableHash(m_member));
    });
    witnesses.resize(std::min(witnesses.size(), wantedWitnesses));
    return witnesses;
}

// Joins, and replaces witnesses that are gone while most of them still stand.
void OwnershipSystem::maintainMembership(const OwnershipView& view, OwnershipActions& actions, TimePoint now)
{
    const auto* self = view.fold.membership().find(m_member);
    if (!self) {
        actions.appends.emplace_back(JoinEntry { m_member, m_zone, m_address, chooseWitnesses(view) });
        m_joinedAt = now;
        return;
    }
    // Without the log a change could stay undecided, and an undecided change needs both majorities.
    const bool logIsFresh = now - view.logConfirmedAt <= m_settings.contactLapse / 2;
    if (self->endedOffset || !logIsFresh || now - m_lastWitnessChange < witnessChangePause)
        return;
    const auto wanted = chooseWitnesses(view);
    const bool someGone = std::any_of(self->witnesses.begin(), self->witnesses.end(),
        [&](const auto& witness) { return !view.fold.membership().isActive(witness) || view.seemsDead(witness); });
    const bool tooFew = self->witnesses.size() < std::min(wantedWitnesses, wanted.size());
    // A member that merely lost sight of its witnesses keeps them: without any, nobody could ever end it.
    const bool allEnded = std::none_of(self->witnesses.begin(), self->witnesses.end(),
        [&](const auto& witness) { return view.fold.membership().isActive(witness); });
    const bool acceptable = !wanted.empty() || allEnded;
    if ((someGone || tooFew) && acceptable && wanted != self->witnesses) {
        m_lastWitnessChange = now;
        m_nextWitnesses = wanted;
        actions.appends.emplace_back(JoinEntry { m_member, m_zone, m_address, wanted });
    }
}

uint32_t OwnershipSystem::targetFraction(const FleetState& fold) const
{
    const auto& zones = fold.configuration().configuration().zones;
    const auto own = zones.find(m_zone);
    if (own == zones.end())
        return 0;
    uint64_t total = 0;
    for (const auto& [name, zone] : zones)
        total += zone.weight;
    return static_cast<uint32_t>(uint64_t { wholeFractionPpm } * own->second.weight / total);
}

void OwnershipSystem::claimParts(const OwnershipView& view, OwnershipActions& actions, TimePoint now)
{
    const uint32_t target = targetFraction(view.fold);
    const auto& membership = view.fold.membership();
    for (uint32_t part = 0; part < partsPerZone; ++part) {
        const PartID id { m_zone, part };
        const auto* ownership = view.fold.ownerships().find(id);
        const uint32_t free = view.fold.ownerships().freeFraction(part, m_zone);
        if (!ownership) {
            const uint32_t fraction = std::min(target, free);
            if (fraction && preferredOwner(view.aliveInZone, id) == m_member)
                actions.appends.emplace_back(OwnEntry { m_zone, part, 0, m_member, fraction });
            continue;
        }
        if (!membership.isActive(ownership->owner)) {
            if (preferredOwner(view.aliveInZone, id) == m_member)
                actions.appends.emplace_back(OwnEntry { m_zone, part, ownership->epoch, m_member, ownership->fractionPpm });
            continue;
        }
        if (ownership->owner != m_member)
            continue;
        if (ownership->fractionPpm <= target) {
            m_shrinking.erase(part);
            const uint32_t fraction = std::min(target, free);
            if (fraction > ownership->fractionPpm)
                actions.appends.emplace_back(OwnEntry { m_zone, part, ownership->epoch, m_member, fraction });
            continue;
        }
        const auto owned = m_owned.find(part);
        if (owned == m_owned.end() || now < owned->second.usableFrom)
            continue;
        // Lend less first, and give the rest up only when no larger loan can be out any more.
        const auto shrinking = m_shrinking.try_emplace(part, Resize { now }).first;
        if (now - shrinking->second.since >= lenderLoanTime(m_settings))
            actions.appends.emplace_back(OwnEntry { m_zone, part, ownership->epoch, m_member, target });
    }
}

// The first living member of the zone collects promises against members that seem dead, and has the log end them.
void OwnershipSystem::revokeDead(const OwnershipView& view, OwnershipActions& actions, TimePoint now)
{
    const bool isFirst
        = !view.aliveInZone.empty() && *std::min_element(view.aliveInZone.begin(), view.aliveInZone.end()) == m_member;
    if (!isFirst)
        return;
    const bool roundDue = now - m_lastPromiseRound >= promiseRound;
    if (roundDue)
        m_lastPromiseRound = now;
    for (const auto& [name, member] : view.fold.membership().members()) {
        if (member.endedOffset || member.zone != m_zone || name == m_member || !view.seemsDead(name))
            continue;
        if (m_promiseOffsets[name] != member.joinOffset) {
            m_promiseOffsets[name] = member.joinOffset;
            m_promises[name].clear();
        }
        auto& promises = m_promises[name];
        if (contains(member.witnesses, m_member) && voteToRevoke(name, true))
            promises.insert(m_member);
        const size_t quorum = revokeQuorum(member.witnesses.size());
        if (quorum && promises.size() >= quorum) {
            actions.appends.emplace_back(RevokeEntry { name, member.joinOffset, { promises.begin(), promises.end() } });
            continue;
        }
        if (!roundDue)
            continue;
        for (const auto& witness : member.witnesses) {
            if (witness != m_member && !promises.contains(witness))
                actions.voteRequests.emplace_back(witness, name);
        }
    }
}

bool OwnershipSystem::voteToRevoke(const std::string& member, bool seemsDead)
{
    if (!seemsDead && !m_promisedAgainst.contains(member))
        return false;
    m_promisedAgainst.insert(member);
    return true;
}

void OwnershipSystem::onRevocationVote(const std::string& witness, const std::string& member, uint64_t joinOffset)
{
    if (m_promiseOffsets[member] == joinOffset)
        m_promises[member].insert(witness);
}

void OwnershipSystem::onLeaseRenewed(const std::string& witness, TimePoint sentAt)
{
    auto& vouchedAt = m_vouchedAt[witness];
    vouchedAt = std::max(vouchedAt, sentAt);
}

bool OwnershipSystem::hasContact(const FleetState& fold, TimePoint logConfirmedAt, TimePoint now) const
{
    const auto* self = fold.membership().find(m_member);
    if (!self || self->endedOffset)
        return false;
    if (logConfirmedAt != TimePoint() && now - logConfirmedAt <= m_settings.contactLapse)
        return true;
    if (logConfirmedAt == TimePoint() || now - logConfirmedAt > longestOffline)
        return false;
    // Until a change of witnesses is read back, the log may judge this member by either list.
    return isVouchedBy(self->witnesses, now) && (m_nextWitnesses.empty() || isVouchedBy(m_nextWitnesses, now));
}

bool OwnershipSystem::isVouchedBy(const std::vector<std::string>& witnesses, TimePoint now) const
{
    const auto vouching = std::count_if(witnesses.begin(), witnesses.end(), [&](const auto& witness) {
        const auto found = m_vouchedAt.find(witness);
        return found != m_vouchedAt.end() && now - found->second <= m_settings.contactLapse;
    });
    return static_cast<size_t>(vouching) >= revokeQuorum(witnesses.size());
}

void OwnershipSystem::onAppendsCompleted(bool neverSent)
{
    m_appendPending = false;
    if (neverSent)
        m_nextWitnesses.clear();
}

uint32_t OwnershipSystem::usableFraction(const FleetState& fold, uint32_t part, TimePoint now) const
{
    const auto owned = m_owned.find(part);
    const auto* ownership = fold.ownerships().find({ m_zone, part });
    if (owned == m_owned.end() || !ownership || ownership->owner != m_member || now < owned->second.usableFrom)
        return 0;
    return std::min(ownership->fractionPpm, m_shrinking.contains(part) ? targetFraction(fold) : ownership->fractionPpm);
}

std::vector<LogEntry> OwnershipSystem::handOver(
    const FleetState& fold, const std::vector<std::string>& successors, TimePoint now) const
{
    std::vector<LogEntry> entries;
    std::vector<std::string> candidates;
    std::copy_if(successors.begin(), successors.end(), std::back_inserter(candidates),
        [&](const auto& name) { return name != m_member && fold.membership().isActive(name); });
    for (const auto& [id, ownership] : fold.ownerships().partitions()) {
        if (ownership.owner != m_member || candidates.empty())
            continue;
        const auto owned = m_owned.find(id.part);
        const bool clean = owned != m_owned.end() && now >= owned->second.usableFrom;
        entries.emplace_back(
            OwnEntry { id.zone, id.part, ownership.epoch, preferredOwner(candidates, id), ownership.fractionPpm, clean });
    }
    entries.emplace_back(LeaveEntry { m_member });
    return entries;
}

} // namespace shallot
