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
class ClaimKeeper;
class CrashFingerprints;
class HTTPExchange;
class LimitSystem;
class Metrics;
struct LimitSettings;
struct PolicySettings;

// What ingress needs of the rest of the daemon.
struct IngressParts {
    const ConfigurationIndex& index;
    const PolicySettings& policy;
    const LimitSettings& limitSettings;
    CallRouter& router;
    LimitSystem& limits;
    ClaimKeeper& claims;
    CrashFingerprints& crashes;
    Metrics& metrics;
};

// Callers' side: checks the key on every request, sheds what would be refused deeper down, spends the organisation's
// tokens, claims what must run at most once, and routes.
class Ingress {
public:
    explicit Ingress(IngressParts);
    ~Ingress();

    Result<void> start(const SocketAddress&, const HTTPServerLimits&);
    // Takes no new connections and closes each open one with its next answer.
    void startLeaving();
    // Loans arrived: requests held for them ask again.
    void retryHeld(TimePoint now);
    // Refuses requests that were held for too long.
    void tick(TimePoint now);

    size_t inProgress() const { return m_inProgress; }
    size_t held() const { return m_heldCount; }

private:
    using HeldHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    // One request between its arrival and its answer.
    struct Visit : RefCounted<Visit>, HeldHook {
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
        bool open { false };
        bool gone { false };
    };

    void handle(const RefPtr<HTTPExchange>&, TimePoint now);
    ErrorKind identify(Visit&, TimePoint now, std::string& detail);
    void admit(const RefPtr<Visit>&, TimePoint now, bool isNew);
    void hold(const RefPtr<Visit>&, TimePoint now);
    void unhold(Visit&);
    void claim(const RefPtr<Visit>&, TimePoint now);
    void route(const RefPtr<Visit>&, TimePoint now);
    void answer(Visit&, const Result<HTTPResponse>&, TimePoint now);

    IngressParts m_parts;
    HTTPServer m_server;
    FairScore m_scores;
    boost::intrusive::list<Visit, boost::intrusive::base_hook<HeldHook>, boost::intrusive::constant_time_size<false>> m_held;
    std::map<std::string, uint32_t> m_heldByOrganisation;
    size_t m_heldCount { 0 };
    size_t m_inProgress { 0 };
    bool m_leaving { false };
};

} // namespace shallot
