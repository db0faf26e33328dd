#pragma once

#include "config/ConfigurationIndex.h"
#include "core/RefCounted.h"
#include "core/RequestContext.h"
#include "daemon/CallOutcome.h"
#include "net/HTTPServer.h"
#include "policy/FairScore.h"

#include <boost/intrusive/list.hpp>
#include <map>
#include <string>

namespace shallot {

class CallRouter;
class RequestDeduplicator;
class CrashFingerprints;
class HTTPExchange;
class LimitSystem;
class Metrics;
struct LimitSettings;
struct PolicySettings;

// Components of the daemon that ingress uses.
struct IngressDependencies {
    const ConfigurationIndex& index;
    const PolicySettings& policy;
    const LimitSettings& limitSettings;
    CallRouter& router;
    LimitSystem& limits;
    RequestDeduplicator& claims;
    CrashFingerprints& crashes;
    Metrics& metrics;
};

// HTTP server for callers: checks the key of every request, sheds requests that downstream services would refuse, enforces the
// organisation's rate limit, claims non-idempotent requests so that they run at most once, and routes.
class Ingress {
public:
    explicit Ingress(IngressDependencies);
    ~Ingress();

    Result<void> start(const SocketAddress&, const HTTPServerLimits&);
    // Accepts no new connections and closes each open one with its next response.
    void startDraining();
    // Loans have arrived: tries again to admit the requests that are held for them.
    void retryHeld(TimePoint now);
    // Refuses requests that were held for longer than the hold time.
    void tick(TimePoint now);

    size_t inProgress() const { return m_inProgress; }
    size_t held() const { return m_heldCount; }

private:
    using HeldHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    // One request between its arrival and its response.
    struct IngressRequest : RefCounted<IngressRequest>, HeldHook {
        RefPtr<HTTPExchange> exchange;
        HTTPRequest request;
        RequestContext context;
        std::string service;
        std::string idempotencyKey;
        uint64_t fingerprint { 0 };
        TimePoint arrived {};
        TimePoint deadline {};
        TimePoint heldSince {};
        uint64_t callID { 0 };
        bool openRoute { false };
        bool disconnected { false };
    };

    void handle(const RefPtr<HTTPExchange>&, TimePoint now);
    ErrorKind checkRequest(IngressRequest&, TimePoint now, std::string& detail);
    void admit(const RefPtr<IngressRequest>&, TimePoint now, bool isNew);
    void hold(const RefPtr<IngressRequest>&, TimePoint now);
    void releaseHeld(IngressRequest&);
    void claim(const RefPtr<IngressRequest>&, TimePoint now);
    void route(const RefPtr<IngressRequest>&, TimePoint now);
    void respond(IngressRequest&, const Result<HTTPResponse>&, TimePoint now);

    IngressDependencies m_dependencies;
    HTTPServer m_server;
    FairScore m_scores;
    boost::intrusive::list<IngressRequest, boost::intrusive::base_hook<HeldHook>, boost::intrusive::constant_time_size<false>>
        m_held;
    std::map<std::string, uint32_t> m_heldByOrganisation;
    size_t m_heldCount { 0 };
    size_t m_inProgress { 0 };
};

} // namespace shallot
