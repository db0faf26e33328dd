#pragma once

#include "claims/ClaimTable.h"
#include "config/ConfigurationState.h"
#include "limits/OwnershipTable.h"
#include "log/LogEntry.h"
#include "membership/MembershipTable.h"

#include <map>
#include <string>
#include <vector>

namespace shallot {

// Outcome of one applied entry.
struct AppliedEntry {
    std::string writer;
    uint64_t sequence { 0 };
    size_t index { 0 };      // Index within the record
    uint64_t position { 0 }; // Offset of the record plus one; the configuration revision of an accepted edit
    Result<void> result;     // Error when the entry was voided
};

// Replicated state of the fleet, computed by applying the log's records in order. Identical at all readers that have applied the
// log up to the same offset. Configuration revisions, ownership epochs and the offsets in membership records are log offsets plus
// one, so that 0 always means "none".
class FleetState {
public:
    // Applies the next record. Records before nextOffset() are ignored; records that cannot be parsed are counted and skipped.
    // Returns false on a gap: the records between nextOffset() and this one are missing and a snapshot is needed.
    bool apply(const StoredRecord&);

    uint64_t nextOffset() const { return m_nextOffset; }
    uint64_t skippedRecords() const { return m_skippedRecords; }
    const ConfigurationState& configuration() const { return m_configuration; }
    const MembershipTable& membership() const { return m_membership; }
    const OwnershipTable& ownerships() const { return m_ownerships; }
    const ClaimTable& claims() const { return m_claims; }
    // Whether the writer's record with this sequence number was applied: shows whether an unacknowledged append reached the log.
    bool hasApplied(const std::string& writer, uint64_t sequence) const;
    // Whether a new snapshot should be appended, so that the log service can expire old records.
    bool isSnapshotDue() const;
    // Outcomes of the entries applied since the last call.
    std::vector<AppliedEntry> takeApplied() { return std::exchange(m_applied, {}); }

    std::string serialize() const;
    // Replaces the state by a serialized one that includes more of the log. Returns false and changes nothing when the text is
    // invalid or not ahead of this state.
    bool restore(std::string_view);

private:
    Result<void> applyEntry(const StoredRecord&, const LogRecord&, const LogEntry&);
    void recordSnapshot(const StoredRecord&);
    bool isDuplicate(const LogRecord&) const;
    void recordWriter(const LogRecord&, uint64_t offset);

    struct WriterState {
        uint64_t sequence { 0 };
        uint64_t offset { 0 };
    };

    uint64_t m_nextOffset { 0 };
    uint64_t m_skippedRecords { 0 };
    uint64_t m_snapshotOffset { 0 }; // Offset of the last snapshot record
    int64_t m_snapshotTimeMs { 0 };
    int64_t m_lastTimeMs { 0 };
    std::map<std::string, WriterState> m_writers;
    ConfigurationState m_configuration;
    MembershipTable m_membership;
    OwnershipTable m_ownerships;
    ClaimTable m_claims;
    std::vector<AppliedEntry> m_applied;
};

} // namespace shallot
