#pragma once

#include "mesh/MeshMember.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace shallot {

// Version of a daemon's copy of the store's member list. Complete copies at the same offset have equal digests.
struct MemberListState {
    bool isKnown { false }; // Received at least once, from the store or a peer
    uint64_t offset { 0 };  // Records of the store before this offset have been applied
    uint64_t digest { 0 };  // Over all listed members, independent of the order in which they were added
    uint64_t era { 0 };     // Of the store, in which the offset counts; it rises when the store comes back from an earlier copy

    // Whether the other copy may have something new for this one.
    bool isBehind(const MemberListState& other) const
    {
        return !isKnown || era < other.era || (era == other.era && offset < other.offset);
    }
};

// Member list update from one daemon to another.
struct MemberUpdate {
    MemberListState state;           // Of the sender
    bool isSnapshot { false };       // `members` is the complete list; otherwise the records from offset `from` on
    uint64_t from { 0 };             // Equal to state.offset if there are no new records
    std::vector<MeshMember> members; // Oldest first
};

// This daemon's copy of the member list, built from the store and from peers. Each sync request carries the offset and the digest
// of the sender's copy, so copies with missing members are detected and read again, whatever the cause. Peers also pass recent
// records on, because in a fleet that starts all at once or is replaced in groups of ten or more, each new record would otherwise
// complete a held read of every daemon.
class MemberList {
public:
    // State of this copy after an update.
    enum class UpdateResult : uint8_t {
        Consistent, // No difference to the sender's list found
        Gap,        // Records before the update are missing and must be read from the store
        Diverged,   // Same offset, other digest: one of the two lists is incomplete
    };

    // Replaces the list with all members of the store at offset `next` of that era. An older snapshot is ignored.
    void applySnapshot(uint64_t next, const std::vector<MeshMember>&, uint64_t era = 0);
    // Applies the records from offset `from` up to but not including `next`; ignored if records before `from` are missing, none
    // is new or they are of another era.
    void applyRecords(uint64_t from, uint64_t next, const std::vector<MeshMember>&, uint64_t era = 0);
    UpdateResult applyUpdate(const MemberUpdate&);
    // Update for a daemon whose copy is in the state `other`: recent records if they suffice, otherwise a snapshot.
    MemberUpdate updateFor(const MemberListState& other) const;
    // Whether the other list has the same offset but another digest.
    bool differsFrom(const MemberListState& other) const;

    const MemberListState& state() const { return m_state; }
    size_t size() const { return m_members.size(); }
    bool contains(const std::string& name) const { return m_members.contains(name); }

private:
    struct HistoryEntry {
        uint64_t next { 0 }; // Offset after the read that contained the record
        MeshMember member;
    };

    void upsert(const MeshMember&);
    void appendHistory(uint64_t from, uint64_t next, const std::vector<MeshMember>&);

    MemberListState m_state;
    std::map<std::string, MeshMember> m_members; // By name
    std::deque<HistoryEntry> m_history;          // The latest records, oldest first
    uint64_t m_historyFrom { 0 };                // The history contains all records from this offset on
};

} // namespace shallot
