#pragma once

#include "log/LogEntry.h"

#include <map>
#include <string>
#include <vector>

namespace shallot {

// One daemon as recorded in the log. Offsets are log offsets plus one; 0 means none.
struct MembershipRecord {
    std::string zone;
    std::string address;
    std::vector<std::string> witnesses;
    uint64_t joinOffset { 0 };  // Of the last join entry, which set the witnesses
    uint64_t endedOffset { 0 }; // Of the leave or revoke entry; 0 while the member is active
    bool revoked { false };     // Ended by the votes of its witnesses rather than by itself
};

// Members, computed from the log. Identical at all readers that have applied the log up to the same offset.
class MembershipTable {
public:
    void apply(uint64_t offset, const JoinEntry&);
    void apply(uint64_t offset, const LeaveEntry&);
    void apply(uint64_t offset, const RevokeEntry&);

    const MembershipRecord* find(const std::string& member) const;
    // Whether the member has joined and has neither left nor been revoked.
    bool isActive(const std::string& member) const;
    const std::map<std::string, MembershipRecord>& members() const { return m_members; }

    // Adds a member from a snapshot.
    void restoreMember(const std::string& name, MembershipRecord member) { m_members[name] = std::move(member); }
    void clear() { m_members.clear(); }

private:
    void evictOldestEnded();

    std::map<std::string, MembershipRecord> m_members;
};

// Number of votes that revoke a member with this many witnesses: a majority. 0 when they are too few to revoke it.
size_t revokeQuorum(size_t witnesses);

} // namespace shallot
