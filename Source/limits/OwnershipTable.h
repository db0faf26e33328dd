#pragma once

#include "log/LogEntry.h"

#include <map>
#include <string>
#include <string_view>

namespace shallot {

class MembershipTable;

constexpr uint32_t partitionsPerZone = 16;       // Organisations are hashed into this many partitions per zone
constexpr uint32_t wholeFractionPpm = 1'000'000; // The whole of a plan's rate and burst

// Partition of the organisation; the same in every zone.
uint32_t partitionOfOrganisation(std::string_view organisation);

// One partition of a zone's share. The owner lends the limits of the partition's organisations.
struct PartitionID {
    std::string zone;
    uint32_t partition { 0 };

    auto operator<=>(const PartitionID&) const = default; // NOLINT(modernize-use-nullptr): the linter misreads the operator
};

// What a new owner waits for before it lends. The values are stored in snapshots.
enum class OwnerWait : uint8_t {
    None,       // The partition had no previous owner
    LoanExpiry, // The previous owner stopped lending and transferred the partition; its loans must expire
    Takeover,   // The previous owner may still be lending: its lease, then its loans, must expire
};

// The owner of one partition of a zone's share, and the fraction of each plan that it may lend.
struct Ownership {
    std::string owner;
    uint64_t epoch { 0 }; // Log position of the entry that set this ownership
    uint32_t fractionPpm { 0 };
    OwnerWait wait { OwnerWait::None };
};

// Partition ownership, computed from the log. For each partition, the fractions of all zones never add up to more than the whole.
class OwnershipTable {
public:
    // Returns false and changes nothing when the entry's expected epoch is stale, the partition belongs to another active member,
    // or the fraction is not free.
    bool apply(uint64_t offset, const OwnershipEntry&, const std::string& writer, const MembershipTable&);

    const Ownership* find(const PartitionID&) const;
    const std::map<PartitionID, Ownership>& partitions() const { return m_partitions; }
    // Fraction of the partition that no zone holds, in millionths; the holding of `exceptZone` counts as free.
    uint32_t freeFraction(uint32_t partition, const std::string& exceptZone) const;

    void restorePartition(const PartitionID& id, Ownership ownership) { m_partitions[id] = std::move(ownership); }
    void clear() { m_partitions.clear(); }

private:
    std::map<PartitionID, Ownership> m_partitions;
};

} // namespace shallot
