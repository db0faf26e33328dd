#include "limits/OwnershipTable.h"

#include "core/Digest.h"
#include "membership/MembershipTable.h"

namespace shallot {

uint32_t partitionOfOrganisation(std::string_view organisation)
{
    return static_cast<uint32_t>(stableHash(organisation) % partitionsPerZone);
}

bool OwnershipTable::apply(
    uint64_t offset, const OwnershipEntry& entry, const std::string& writer, const MembershipTable& membership)
{
    if (entry.partition >= partitionsPerZone || !membership.isActive(entry.owner))
        return false;
    const PartitionID id { entry.zone, entry.partition };
    const auto* current = find(id);
    if ((current ? current->epoch : 0) != entry.expectedEpoch)
        return false;
    const bool ownerIsActive = current && membership.isActive(current->owner);
    if (ownerIsActive && current->owner != writer)
        return false;
    if (entry.fractionPpm > freeFraction(entry.partition, entry.zone))
        return false;
    // A new owner keeps the fraction: the previous owner's outstanding loans were granted from it.
    if (current && current->owner != entry.owner && current->fractionPpm != entry.fractionPpm)
        return false;
    auto wait = current ? current->wait : OwnerWait::None;
    if (current && current->owner != entry.owner)
        wait = current->owner == writer && entry.cleanTransfer ? OwnerWait::LoanExpiry : OwnerWait::Takeover;
    m_partitions[id] = { entry.owner, offset, entry.fractionPpm, wait };
    return true;
}

const Ownership* OwnershipTable::find(const PartitionID& id) const
{
    const auto found = m_partitions.find(id);
    return found == m_partitions.end() ? nullptr : &found->second;
}

uint32_t OwnershipTable::freeFraction(uint32_t partition, const std::string& exceptZone) const
{
    uint32_t used = 0;
    for (const auto& [id, ownership] : m_partitions) {
        if (id.partition == partition && id.zone != exceptZone)
            used += ownership.fractionPpm;
    }
    return wholeFractionPpm - used;
}

} // namespace shallot
