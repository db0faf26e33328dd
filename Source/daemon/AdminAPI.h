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

// What the admin API shows and changes.
struct AdminParts {
    const FleetState& fleetState;
    const GossipTable& gossip;
    const Metrics& metrics;
    AppendQueue& appends;
    const std::vector<std::string>& operators;                           // "name:credential digest"
    std::function<std::string()> status;                                 // Live state as JSON
    std::function<void(const std::set<std::string>& blocked)> setFaults; // Empty unless fault injection is on
};

// Operators' side:
//   GET  /status /metrics /members         live state, open to whoever reaches the admin port
//   GET  /configuration /history           the lists and the audit trail; need an operator's credential
//   POST /edits                            changes the lists; needs an operator's credential
//   POST /faults                           fault injection, when enabled
class AdminAPI {
public:
    explicit AdminAPI(AdminParts);

    Result<void> start(const SocketAddress&);
    // Enables POST /faults.
    void setFaultHandler(std::function<void(const std::set<std::string>&)> handler) { m_parts.setFaults = std::move(handler); }

private:
    void handle(const RefPtr<HTTPExchange>&);
    void handleRead(const RefPtr<HTTPExchange>&);
    void handleEdit(const RefPtr<HTTPExchange>&, const std::string& author);
    void handleFaults(const RefPtr<HTTPExchange>&);
    std::string operatorName(const HTTPExchange&) const;
    std::string formatHistory() const;
    std::string formatMembers() const;

    AdminParts m_parts;
    HTTPServer m_server;
};

} // namespace shallot
