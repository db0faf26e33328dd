#pragma once

#include "log/LogEntry.h"

#include <map>
#include <string>
#include <vector>

namespace shallot {

// One daemon as the log knows it.
struct MembershipRecord {
    std::string zone;
    std::string address;
    std::vector<std::string> witnesses;
    uint64_t joinOffset { 0 };  // Offset of the entry that set the witnesses
    uint64_t endedOffset { 0 }; // Offset of the leave or revoke entry; 0 while the member may act
    bool revoked { false };     // Ended by its witnesses rather than by itself
};

// Members folded from the log. What it says is the same at every reader for the same offset.
class MembershipTable {
public:
    void apply(uint64_t offset, const JoinEntry&);
    void apply(uint64_t offset, const LeaveEntry&);
    void apply(uint64_t offset, const RevokeEntry&);

    const MembershipRecord* find(const std::string& member) const;
    bool isActive(const std::string& member) const;
    const std::map<std::string, MembershipRecord>& members() const { return m_members; }

    // Adds a member as a snapshot recorded it.
    void restoreMember(const std::string& name, MembershipRecord member) { m_members[name] = std::move(member); }
    void clear() { m_members.clear(); }

private:
    void evictOldestEnded();

    std::map<std::string, MembershipRecord> m_members;
};

// Number of witnesses whose promises revoke a member; 0 when they are too few to judge it.
size_t revokeQuorum(size_t witnesses);

} // namespace shallot
