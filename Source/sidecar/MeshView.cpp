#include "sidecar/MeshView.h"

#include "core/EventLog.h"
#include "mesh/MeshSettings.h"
#include "platform/ConfigurationCodec.h"

namespace shallot {

MeshView::MeshView(const MeshSettings& settings, std::string ownZone)
    : m_settings(settings)
    , m_endpoints(settings, std::move(ownZone))
{
}

Result<void> MeshView::applyConfiguration(const std::string& document, const char* source)
{
    auto decoded = platform::decodeConfiguration(document);
    if (!decoded) {
        EventLog::write("configuration-unreadable", { { "source", source }, { "detail", decoded.error().detail } });
        return tl::unexpected(decoded.error());
    }
    if (m_routes && decoded->version <= version())
        return {};
    EventLog::write("configuration-in-force",
        { { "version", decoded->version }, { "replaces", version() }, { "source", source }, { "routes", decoded->routes.size() },
            { "organisations", decoded->organisations.size() } });
    m_routes = std::make_unique<RouteTable>(std::move(*decoded));
    m_document = document;
    if (m_onConfiguration)
        m_onConfiguration();
    return {};
}

bool MeshView::applyEvacuationSnapshot(TopicPosition position, std::span<const EvacuationRecord> records, TimePoint now)
{
    const auto former = m_evacuations.zones();
    const bool changed = m_evacuations.applySnapshot(position, records);
    if (changed)
        onEvacuationsChanged(former, now);
    return changed;
}

bool MeshView::applyEvacuationRecords(TopicPosition position, std::span<const EvacuationRecord> records, TimePoint now)
{
    const auto former = m_evacuations.zones();
    const bool changed = m_evacuations.applyRecords(position, records);
    if (changed)
        onEvacuationsChanged(former, now);
    return changed;
}

bool MeshView::applyEvacuationCopy(TopicPosition position, ZoneEvacuations::Zones zones, TimePoint now)
{
    const auto former = m_evacuations.zones();
    const bool changed = m_evacuations.applyCopy(position, std::move(zones));
    if (changed)
        onEvacuationsChanged(former, now);
    return changed;
}

void MeshView::onEvacuationsChanged(const ZoneEvacuations::Zones& former, TimePoint now)
{
    const auto& zones = m_evacuations.zones();
    const auto& position = m_evacuations.position();
    for (const auto& [zone, offset] : zones) {
        if (former.contains(zone))
            continue;
        m_evacuatedSince[zone] = now;
        EventLog::write("zone-evacuated", { { "zone", zone }, { "offset", offset }, { "era", position.era } });
    }
    std::set<std::string, std::less<>> names;
    for (const auto& [zone, offset] : zones)
        names.insert(zone);
    for (const auto& [zone, offset] : former) {
        if (zones.contains(zone))
            continue;
        EventLog::write("zone-evacuation-revoked",
            { { "zone", zone }, { "offset", position.next }, { "era", position.era },
                { "in_force_s", toSeconds(now - m_evacuatedSince[zone]) } });
        m_evacuatedSince.erase(zone);
    }
    m_endpoints.setEvacuatedZones(std::move(names));
    if (m_onEvacuation)
        m_onEvacuation();
}

bool MeshView::mayAcceptKeys(TimePoint now) const
{
    return m_freshness.isFresh(now, m_settings.keyStaleness - m_settings.keyStalenessMargin);
}

void MeshView::updateMember(const MeshMember& member)
{
    if (!m_endpoints.find(member.name))
        EventLog::write("member-new", { { "member", member.name }, { "zone", member.zone }, { "service", member.service } });
    m_endpoints.update(member);
}

} // namespace shallot
