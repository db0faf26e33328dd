#pragma once

#include "core/Error.h"
#include "mesh/ConfigurationFreshness.h"
#include "mesh/RemoteEndpoints.h"
#include "mesh/RouteTable.h"
#include "mesh/ZoneEvacuations.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace shallot {

struct MeshSettings;

// This daemon's view of the mesh, which may be outdated: the configuration, when it was last confirmed to be the newest, and the
// other daemons.
class MeshView {
public:
    MeshView(const MeshSettings&, std::string ownZone);

    // Applies a configuration document from the store or a peer if it is newer than the current one; an older document never
    // replaces a newer one. EditInvalid if the document cannot be decoded; the current configuration stays in force.
    Result<void> applyConfiguration(const std::string& document, const char* source);
    RouteTable* routes() { return m_routes.get(); }
    const RouteTable* routes() const { return m_routes.get(); }
    uint64_t version() const { return m_routes ? m_routes->configuration().version : 0; }
    const std::string& document() const { return m_document; }

    const ZoneEvacuations& evacuations() const { return m_evacuations; }
    // Each applies an update of the evacuated zones and returns whether they have changed.
    bool applyEvacuationSnapshot(TopicPosition, std::span<const EvacuationRecord>, TimePoint now);
    bool applyEvacuationRecords(TopicPosition, std::span<const EvacuationRecord>, TimePoint now);
    bool applyEvacuationCopy(TopicPosition, ZoneEvacuations::Zones, TimePoint now);

    ConfigurationFreshness& freshness() { return m_freshness; }
    // Whether the configuration was confirmed recently enough to accept keys.
    bool mayAcceptKeys(TimePoint now) const;

    void updateMember(const MeshMember&);
    // Daemons that hold a share of each organisation's rate, including this one.
    size_t memberCount() const { return m_endpoints.all().size(); }
    // Returns whether this was the first call.
    bool markMembersKnown() { return !std::exchange(m_membersKnown, true); }
    bool isInitialized() const { return m_routes && m_membersKnown && m_evacuations.isKnown(); }
    RemoteEndpoints& endpoints() { return m_endpoints; }

    void setEvacuationHandler(std::function<void()> handler) { m_onEvacuation = std::move(handler); }
    void setConfigurationHandler(std::function<void()> handler) { m_onConfiguration = std::move(handler); }

private:
    void onEvacuationsChanged(const ZoneEvacuations::Zones& former, TimePoint now);

    const MeshSettings& m_settings;
    ZoneEvacuations m_evacuations;
    std::map<std::string, TimePoint> m_evacuatedSince; // By zone
    std::function<void()> m_onEvacuation;
    std::unique_ptr<RouteTable> m_routes;
    std::string m_document;
    ConfigurationFreshness m_freshness;
    RemoteEndpoints m_endpoints;
    std::function<void()> m_onConfiguration;
    bool m_membersKnown { false };
};

} // namespace shallot
