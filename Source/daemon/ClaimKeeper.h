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
// and keeps the answer for resends through any daemon.
class ClaimKeeper {
public:
    struct Request {
        std::string organisation;
        std::string key;
        uint64_t fingerprint { 0 };
        TimePoint deadline {};
    };

    // Nothing: this daemon holds the claim and runs the request now, then calls finish(). Otherwise the answer to give.
    using Completion = std::function<void(std::optional<Result<HTTPResponse>>)>;

    ClaimKeeper(const FleetState&, AppendQueue&, PeerLinks&, std::string member);

    void claim(const Request&, TimePoint now, Completion);
    // The request that claim() let run has ended. One that did not run frees its key.
    void finish(const std::string& organisation, const std::string& key, const Result<HTTPResponse>&, TimePoint now);

    void onQuery(PeerLink&, const wire::ClaimQueryT&, TimePoint now);
    // Returns false when the answer belongs to no query.
    bool onAnswer(PeerLink&, wire::AnswerT&);
    void onLinkClosed(PeerLink&);
    void tick(TimePoint now);

    size_t keptAnswers() const { return m_records.size(); }

private:
    enum class State : uint8_t {
        Claiming, // The claim is on its way to the log
        Running,
        Done,
        Abandoned, // The caller was told "not run"; the claim is released if it still wins
    };

    struct Waiter {
        TimePoint deadline {};
        Completion completion;
    };

    struct Record {
        Request request;
        State state { State::Claiming };
        Result<HTTPResponse> answer { HTTPResponse() };
        std::vector<Waiter> waiters;
        TimePoint finishedAt {};
    };

    struct Query {
        RefPtr<PeerLink> link;
        Waiter waiter;
    };

    void onClaimFolded(const std::string& name, const Result<uint64_t>&, TimePoint now);
    void askHolder(const Request&, const Claim&, TimePoint now, Completion);
    void waitFor(Record&, const Request&, Completion);
    void release(const Record&, TimePoint now);
    void releaseAbandoned(TimePoint now);
    void forgetOldAnswers(TimePoint now);

    const FleetState& m_fleetState;
    AppendQueue& m_appends;
    PeerLinks& m_links;
    std::string m_member;
    std::unordered_map<std::string, Record> m_records;
    std::deque<std::string> m_finished; // Names in the order in which they finished
    std::unordered_map<uint64_t, Query> m_queries;
    uint64_t m_nextQuery;
};

} // namespace shallot
