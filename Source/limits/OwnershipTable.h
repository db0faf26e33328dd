#pragma once

#include "log/LogEntry.h"

#include <map>
#include <string>
#include <string_view>

namespace shallot {

class MembershipTable;

constexpr uint32_t partitionsPerZone = 16;       // Organisations are spread over this many owners in each zone
constexpr uint32_t wholeFractionPpm = 1'000'000; // All of a plan

uint32_t partitionOfOrganisation(std::string_view organisation);

struct PartitionID {
    std::string zone;
    uint32_t partition { 0 };

    auto operator<=>(const PartitionID&) const = default; // NOLINT(modernize-use-nullptr): the linter misreads the operator
};

// What a new owner waits for before it lends.
enum class OwnerWait : uint8_t {
    None,       // Nobody owned the part before
    LoanExpiry, // The previous owner stopped and handed over; its loans are out
    Takeover,   // The previous owner may not know yet that it lost the part
};

// Who holds one part of a zone's share, and how much of each plan it is.
struct Ownership {
    std::string owner;
    uint64_t epoch { 0 }; // Offset of the entry that made it so
    uint32_t fractionPpm { 0 };
    OwnerWait wait { OwnerWait::None };
};

// Ownerships folded from the log. For each part, the fractions of all zones never add up to more than the whole.
class OwnershipTable {
public:
    // Voids entries with a stale epoch, over a live foreign owner, or with a fraction that is not free.
    bool apply(uint64_t offset, const OwnershipEntry&, const std::string& writer, const MembershipTable&);

    const Ownership* find(const PartitionID&) const;
    const std::map<PartitionID, Ownership>& partitions() const { return m_partitions; }
    // Fraction that no zone holds for the part, not counting what `except` holds.
    uint32_t freeFraction(uint32_t partition, const std::string& exceptZone) const;

    void restorePartition(const PartitionID& id, Ownership ownership) { m_partitions[id] = std::move(ownership); }
    void clear() { m_partitions.clear(); }

private:
    std::map<PartitionID, Ownership> m_partitions;
};

} // namespace shallot
