#pragma once

#include "mesh/EvacuationRecord.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

// Position in the operators' topic: all records before that offset of that era of the store have been applied.
struct TopicPosition {
    uint64_t era { 0 };
    uint64_t next { 0 };

    auto operator<=>(const TopicPosition&) const = default;
};

// The zones whose backend servers get no requests. Copies travel between daemons; the one at the higher position replaces the
// other as a whole, so a message that is late does not evacuate a zone again.
class ZoneEvacuations {
public:
    using Zones = std::map<std::string, uint64_t, std::less<>>; // Offsets of their records

    // Each returns whether the evacuated zones have changed. A snapshot or copy at an earlier position changes nothing, and of the
    // records those before the position.
    bool applySnapshot(TopicPosition, std::span<const EvacuationRecord>);
    bool applyRecords(TopicPosition, std::span<const EvacuationRecord>);
    bool applyCopy(TopicPosition, Zones);

    // Whether the topic has been read at all, by this daemon or by the one whose copy it has.
    bool isKnown() const { return m_known; }
    const TopicPosition& position() const { return m_position; }
    const Zones& zones() const { return m_zones; }
    bool isEvacuated(std::string_view zone) const { return m_zones.contains(zone); }

private:
    bool replace(TopicPosition, Zones);

    bool m_known { false };
    TopicPosition m_position;
    Zones m_zones;
};

} // namespace shallot
