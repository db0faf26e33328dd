#pragma once

#include "core/RefCounted.h"
#include "daemon/CallOutcome.h"
#include "log/FleetState.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallot {

namespace wire {
struct AnswerT;
struct ClaimQueryT;
} // namespace wire

class AppendQueue;
class PeerLink;
class PeerLinks;

// Makes non-idempotent requests run at most once. The first claim of a key in the log wins; its holder runs the request
// and keeps the response for resends through any daemon.
class RequestDeduplicator {
public:
    struct Request {
        std::string organisation;
        std::string key;
        uint64_t fingerprint { 0 };
        TimePoint deadline {};
    };

    // Called with nothing when this daemon holds the claim: the caller runs the request now, then calls finish(). Otherwise
    // called with the response to send.
    using Completion = std::function<void(std::optional<Result<HTTPResponse>>)>;

    RequestDeduplicator(const FleetState&, AppendQueue&, PeerLinks&, std::string member);

    void claim(const Request&, TimePoint now, Completion);
    // The request that claim() let run has ended. If it was not executed, its key is released.
    void finish(const std::string& organisation, const std::string& key, const Result<HTTPResponse>&, TimePoint now);

    void onQuery(PeerLink&, const wire::ClaimQueryT&, TimePoint now);
    // Returns false when the id is not that of a query, so the frame belongs to a call.
    bool onAnswer(PeerLink&, wire::AnswerT&);
    void onLinkClosed(PeerLink&);
    void tick(TimePoint now);

    size_t cachedResponses() const { return m_records.size(); }

private:
    enum class State : uint8_t {
        Claiming, // The claim is being appended to the log
        Running,
        Done,
        Abandoned, // The caller got "not executed"; the claim is released if it still wins
    };

    struct Waiter {
        TimePoint deadline {};
        Completion completion;
    };

    struct Record {
        Request request;
        State state { State::Claiming };
        Result<HTTPResponse> response { HTTPResponse() };
        std::vector<Waiter> waiters;
        TimePoint finishedAt {};
    };

    struct Query {
        RefPtr<PeerLink> link;
        Waiter waiter;
    };

    void onClaimApplied(const std::string& name, const Result<uint64_t>&, TimePoint now);
    void queryHolder(const Request&, const Claim&, TimePoint now, Completion);
    void respondOrWait(Record&, const Request&, Completion);
    void release(const Record&, TimePoint now);
    void releaseAbandoned(TimePoint now);
    void evictCachedResponses(TimePoint now);

    const FleetState& m_fleetState;
    AppendQueue& m_appends;
    PeerLinks& m_links;
    std::string m_member;
    std::unordered_map<std::string, Record> m_records;
    std::deque<std::string> m_finished; // Names of records in State::Done, oldest first
    std::unordered_map<uint64_t, Query> m_queries;
    uint64_t m_nextQueryID;
};

} // namespace shallot
