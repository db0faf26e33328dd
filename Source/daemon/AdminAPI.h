#pragma once

#include "core/RefCounted.h"
#include "net/HTTPServer.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

class AppendQueue;
class FleetState;
class GossipTable;
class HTTPExchange;
class Metrics;

// The components of the daemon that the admin API reads and changes.
struct AdminDependencies {
    const FleetState& fleetState;
    const GossipTable& gossip;
    const Metrics& metrics;
    AppendQueue& appends;
    const std::vector<std::string>& operators;                           // "name:SHA-256 hex digest of the credential"
    std::function<std::string()> status;                                 // Body of GET /status
    std::function<void(const std::set<std::string>& blocked)> setFaults; // Empty unless fault injection is enabled
};

// HTTP API for operators:
//   GET  /status /metrics /members         live state; open to everyone who can reach the admin port
//   GET  /configuration /history           configuration and audit trail; require an operator's credential
//   POST /edits                            edits the configuration; requires an operator's credential
//   POST /faults                           fault injection; only when enabled
class AdminAPI {
public:
    explicit AdminAPI(AdminDependencies);

    Result<void> start(const SocketAddress&);
    // Requests are still accepted, each on a connection that its response closes.
    void startLeaving() { m_server.closeAfterResponses(); }
    // Enables POST /faults.
    void setFaultHandler(std::function<void(const std::set<std::string>&)> handler)
    {
        m_dependencies.setFaults = std::move(handler);
    }

private:
    void handle(const RefPtr<HTTPExchange>&);
    void handleRead(const RefPtr<HTTPExchange>&);
    void handleEdit(const RefPtr<HTTPExchange>&, const std::string& author);
    void handleFaults(const RefPtr<HTTPExchange>&);
    std::string operatorName(const HTTPExchange&) const;
    std::string formatHistory() const;
    std::string formatMembers() const;

    AdminDependencies m_dependencies;
    HTTPServer m_server;
};

} // namespace shallot
