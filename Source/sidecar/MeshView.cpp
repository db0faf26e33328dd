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
