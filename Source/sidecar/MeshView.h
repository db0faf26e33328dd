#pragma once

#include "core/Error.h"
#include "mesh/ConfigurationFreshness.h"
#include "mesh/RemoteEndpoints.h"
#include "mesh/RouteTable.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace shallot {

struct MeshSettings;

// What this daemon believes of the mesh, with the age of each belief: the configuration and the other daemons.
class MeshView {
public:
    MeshView(const MeshSettings&, std::string ownZone);

    // Takes a configuration document from the store or a peer if it is newer; nothing older ever replaces what is in force.
    // EditInvalid for a document that cannot be read; what is in force stays.
    Result<void> applyConfiguration(const std::string& document, const char* source);
    RouteTable* routes() { return m_routes.get(); }
    uint64_t version() const { return m_routes ? m_routes->configuration().version : 0; }
    const std::string& document() const { return m_document; }

    ConfigurationFreshness& freshness() { return m_freshness; }
    bool mayAcceptKeys(TimePoint now) const;

    void updateMember(const MeshMember&);
    // Daemons that hold a part of each organisation's rate, this one included.
    size_t memberCount() const { return m_endpoints.all().size(); }
    // True for the first time.
    bool markMembersKnown() { return !std::exchange(m_membersKnown, true); }
    bool isInitialized() const { return m_routes && m_membersKnown; }
    RemoteEndpoints& endpoints() { return m_endpoints; }

    void setConfigurationHandler(std::function<void()> handler) { m_onConfiguration = std::move(handler); }

private:
    const MeshSettings& m_settings;
    std::unique_ptr<RouteTable> m_routes;
    std::string m_document;
    ConfigurationFreshness m_freshness;
    RemoteEndpoints m_endpoints;
    std::function<void()> m_onConfiguration;
    bool m_membersKnown { false };
};

} // namespace shallot
