#pragma once

#include "mesh/MeshMember.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace shallot {

// The latest records of the member list by their offsets, so that one member of a zone reads the list for the others. The load
// it answers: each new record would otherwise wake a read of every daemon.
class MemberNews {
public:
    // Records from offset `from` up to but not including `next`. A gap to what is kept forgets the earlier ones.
    void record(uint64_t from, uint64_t next, const std::vector<MeshMember>&);
    // Everything recorded from that offset on; nothing when that is no longer known.
    std::optional<std::vector<MeshMember>> since(uint64_t offset) const;

private:
    struct Item {
        uint64_t next { 0 }; // Offset behind the read that brought it
        MeshMember member;
    };

    std::deque<Item> m_items; // Oldest first
    uint64_t m_from { 0 };    // Offset of the oldest record that may be among them
    uint64_t m_next { 0 };
};

} // namespace shallot
