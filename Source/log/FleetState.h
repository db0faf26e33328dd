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

// Outcome of one entry that this process waits for.
struct AppliedEntry {
    std::string writer;
    uint64_t sequence { 0 };
    size_t index { 0 };      // Position within the record
    uint64_t position { 0 }; // Offset of the record plus one; the revision that an accepted edit brings
    Result<void> result;     // Why the fold voided it
};

// Everything that the fleet agrees on, folded from the log. Equal at every reader that has folded up to the same offset.
// Revisions, epochs and the positions of members are log offsets plus one, so that 0 always means "none".
class FleetState {
public:
    // Folds the next record. Records before nextOffset() are ignored, unreadable ones counted.
    // Returns false for a gap: the records between nextOffset() and this one are gone and a snapshot is needed.
    bool apply(const StoredRecord&);

    uint64_t nextOffset() const { return m_nextOffset; }
    uint64_t skippedRecords() const { return m_skippedRecords; }
    const ConfigurationState& configuration() const { return m_configuration; }
    const MembershipTable& membership() const { return m_membership; }
    const OwnershipTable& ownerships() const { return m_ownerships; }
    const ClaimTable& claims() const { return m_claims; }
    // Whether a record of the writer was folded, which tells the fate of an append whose acknowledgement was lost.
    bool hasApplied(const std::string& writer, uint64_t sequence) const;
    // Whether it is time to append a new snapshot, so that the log service can expire old records.
    bool isSnapshotDue() const;
    // Entries folded since the last call, with their outcomes.
    std::vector<AppliedEntry> takeApplied() { return std::exchange(m_applied, {}); }

    std::string serialize() const;
    // Replaces the state by a snapshot that reaches further than this fold; false leaves everything as it was.
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
    uint64_t m_snapshotOffset { 0 }; // Of the last snapshot record
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
