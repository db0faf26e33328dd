#pragma once

#include "config/ConfigurationIndex.h"
#include "core/RefCounted.h"
#include "net/HTTPServer.h"

namespace shallot {

class CallExecutor;
class CallRouter;
class HTTPExchange;
struct PolicySettings;

// Loopback HTTP server for the own backend server: POST /shallot/announce, and nested calls that carry the token of a running
// request.
class Egress {
public:
    Egress(CallExecutor&, CallRouter&, const ConfigurationIndex&, const PolicySettings&);

    Result<void> start(const SocketAddress&);
    // Calls and announcements are still accepted, each on a connection that its response closes.
    void startLeaving() { m_server.closeAfterResponses(); }

private:
    void handle(const RefPtr<HTTPExchange>&);
    void handleAnnouncement(const RefPtr<HTTPExchange>&);
    void handleNestedCall(const RefPtr<HTTPExchange>&);

    CallExecutor& m_executor;
    CallRouter& m_router;
    const ConfigurationIndex& m_index;
    const PolicySettings& m_settings;
    HTTPServer m_server;
};

} // namespace shallot
