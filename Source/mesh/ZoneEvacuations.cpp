#include "mesh/ZoneEvacuations.h"

#include <algorithm>
#include <utility>

namespace shallot {

bool ZoneEvacuations::replace(TopicPosition position, Zones zones)
{
    m_known = true;
    m_position = position;
    return std::exchange(m_zones, std::move(zones)) != m_zones;
}

bool ZoneEvacuations::applySnapshot(TopicPosition position, std::span<const EvacuationRecord> records)
{
    if (m_known && position < m_position)
        return false;
    Zones zones;
    for (const auto& record : records) {
        if (record.kind == EvacuationRecord::Kind::Evacuated)
            zones[record.zone] = record.offset;
        else if (const auto former = m_zones.find(record.zone);
                 record.kind == EvacuationRecord::Kind::Unreadable && former != m_zones.end())
            zones.insert(*former);
    }
    return replace(position, std::move(zones));
}

bool ZoneEvacuations::applyRecords(TopicPosition position, std::span<const EvacuationRecord> records)
{
    // Records say nothing of what was before them, and the offsets of another era nothing at all.
    if (!m_known || position.era != m_position.era || position <= m_position)
        return false;
    auto zones = m_zones;
    for (const auto& record : records) {
        if (record.offset < m_position.next)
            continue;
        if (record.kind == EvacuationRecord::Kind::Evacuated)
            zones.insert_or_assign(record.zone, record.offset);
        else if (record.kind == EvacuationRecord::Kind::Revoked)
            zones.erase(record.zone);
    }
    return replace(position, std::move(zones));
}

bool ZoneEvacuations::applyCopy(TopicPosition position, Zones zones)
{
    return (!m_known || position > m_position) && replace(position, std::move(zones));
}

} // namespace shallot
