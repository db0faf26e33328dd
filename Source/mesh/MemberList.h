#pragma once

#include "mesh/MeshMember.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace shallot {

// How far a daemon knows the store's member list. Daemons that know it equally far and whole have equal digests.
struct MemberListState {
    bool isKnown { false }; // Read at least once, from the store or a peer
    uint64_t offset { 0 };  // Records of the store before it are known
    uint64_t digest { 0 };  // Of all listed members, whatever the order in which they were learned
};

// What one daemon tells another of the member list.
struct MemberUpdate {
    MemberListState state;           // Of the one who tells
    bool isSnapshot { false };       // All listed members; otherwise the records from `from` on
    uint64_t from { 0 };             // Equal to state.offset when there is nothing to tell
    std::vector<MeshMember> members; // Oldest first
};

// The member list as the store and the peers tell it, with how far it is known. Peers compare their lists with each question
// at the cost of two numbers, so a list with holes is found and read again, whatever made the holes. The load it answers: a
// fleet that starts at once or is replaced in tens, where each new record would otherwise wake a read of every daemon.
class MemberList {
public:
    // What an update showed about this list.
    enum class UpdateResult : uint8_t {
        Consistent, // As far as the update tells
        Gap,        // Records in between were not told: the store knows them
        Diverged,   // Known equally far, yet not the same: one of both has holes
    };

    // All members by the store, known up to that offset. Replaces what was listed.
    void applySnapshot(uint64_t next, const std::vector<MeshMember>&);
    // Records from offset `from` up to but not including `next`.
    void applyRecords(uint64_t from, uint64_t next, const std::vector<MeshMember>&);
    UpdateResult applyUpdate(const MemberUpdate&);
    // What a daemon with that list lacks.
    MemberUpdate updateFor(const MemberListState& other) const;
    // Whether a list known equally far differs from this one.
    bool differsFrom(const MemberListState& other) const;

    const MemberListState& state() const { return m_state; }
    size_t size() const { return m_members.size(); }
    bool contains(const std::string& name) const { return m_members.contains(name); }

private:
    struct HistoryEntry {
        uint64_t next { 0 }; // Offset behind the read that brought it
        MeshMember member;
    };

    void upsert(const MeshMember&);
    void appendHistory(uint64_t from, uint64_t next, const std::vector<MeshMember>&);

    MemberListState m_state;
    std::map<std::string, MeshMember> m_members; // By name
    std::deque<HistoryEntry> m_history;          // The latest records, oldest first
    uint64_t m_historyFrom { 0 };                // Offset of the oldest record that may be among them
};

} // namespace shallot
