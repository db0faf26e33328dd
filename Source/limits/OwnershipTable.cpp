#include "limits/OwnershipTable.h"

#include "core/Digest.h"
#include "membership/MembershipTable.h"

namespace shallot {

uint32_t partOfOrganisation(std::string_view organisation)
{
    return static_cast<uint32_t>(stableHash(organisation) % partsPerZone);
}

bool OwnershipTable::apply(uint64_t offset, const OwnEntry& entry, const std::string& writer, const MembershipTable& membership)
{
    if (entry.part >= partsPerZone || !membership.isActive(entry.owner))
        return false;
    const PartID id { entry.zone, entry.part };
    const auto* current = find(id);
    if ((current ? current->epoch : 0) != entry.expectedEpoch)
        return false;
    const bool ownerMayAct = current && membership.isActive(current->owner);
    if (ownerMayAct && current->owner != writer)
        return false;
    if (entry.fractionPpm > freeFraction(entry.part, entry.zone))
        return false;
    // A takeover keeps the fraction: what the previous owner lent out was cut from it.
    if (current && current->owner != entry.owner && current->fractionPpm != entry.fractionPpm)
        return false;
    auto wait = current ? current->wait : OwnerWait::None;
    if (current && current->owner != entry.owner)
        wait = current->owner == writer && entry.clean ? OwnerWait::Loans : OwnerWait::Takeover;
    m_parts[id] = { entry.owner, offset, entry.fractionPpm, wait };
    return true;
}

const Ownership* OwnershipTable::find(const PartID& id) const
{
    const auto found = m_parts.find(id);
    return found == m_parts.end() ? nullptr : &found->second;
}

uint32_t OwnershipTable::freeFraction(uint32_t part, const std::string& exceptZone) const
{
    uint32_t used = 0;
    for (const auto& [id, ownership] : m_parts) {
        if (id.part == part && id.zone != exceptZone)
            used += ownership.fractionPpm;
    }
    return wholeFractionPpm - used;
}

} // namespace shallot
