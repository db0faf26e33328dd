#include "daemon/RequestDeduplicator.h"

#include "daemon/CallFrames.h"
#include "log/AppendQueue.h"
#include "net/PeerLinks.h"
#include "wire/Frames_generated.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto responseRetention = 15min; // Responses are kept for resends this long
constexpr size_t maximumCachedResponses = 20'000;
constexpr auto releaseTimeout = 60s;          // A release waits this long for the log; after that the key stays claimed
constexpr uint64_t firstQueryID = 1ULL << 63; // Separates the ids of queries from those of calls on a link

std::string recordName(const std::string& organisation, const std::string& key)
{
    return std::to_string(organisation.size()) + ":" + organisation + key;
}

} // namespace

RequestDeduplicator::RequestDeduplicator(const FleetState& fleetState, AppendQueue& appends, PeerLinks& links, std::string member)
    : m_fleetState(fleetState)
    , m_appends(appends)
    , m_links(links)
    , m_member(std::move(member))
    , m_nextQueryID(firstQueryID)
{
}

void RequestDeduplicator::claim(const Request& request, TimePoint now, Completion completion)
{
    const auto name = recordName(request.organisation, request.key);
    const auto* claim = m_fleetState.claims().find(request.organisation, request.key);
    if (claim && claim->fingerprint != request.fingerprint) {
        completion(
            Result<HTTPResponse>(fail(ErrorKind::BadRequest, "the Idempotency-Key was already used for a different request")));
        return;
    }
    if (const auto found = m_records.find(name); found != m_records.end()) {
        respondOrWait(found->second, request, std::move(completion));
        return;
    }
    if (claim) {
        queryHolder(request, *claim, now, std::move(completion));
        return;
    }
    auto& record = m_records[name];
    record.request = request;
    record.waiters.push_back({ request.deadline, std::move(completion) });
    const ClaimEntry entry { request.organisation, request.key, request.fingerprint, m_member };
    m_appends.push(entry, request.deadline,
        [this, name](const Result<uint64_t>& result) { onClaimApplied(name, result, MonotonicClock::now()); });
}

void RequestDeduplicator::respondOrWait(Record& record, const Request& request, Completion completion)
{
    if (record.request.fingerprint != request.fingerprint)
        completion(
            Result<HTTPResponse>(fail(ErrorKind::BadRequest, "the Idempotency-Key was already used for a different request")));
    else if (record.state == State::Done)
        completion(record.response);
    else if (record.state == State::Abandoned)
        completion(
            Result<HTTPResponse>(fail(ErrorKind::LogUnavailable, "an earlier claim of the Idempotency-Key is not decided yet")));
    else
        record.waiters.push_back({ request.deadline, std::move(completion) });
}

void RequestDeduplicator::onClaimApplied(const std::string& name, const Result<uint64_t>& result, TimePoint now)
{
    const auto found = m_records.find(name);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    auto waiters = std::exchange(record.waiters, {});
    if (!result) {
        // The request has not run and will not run: if the claim still wins later, it is released.
        if (result.error().kind == ErrorKind::OutcomeUnknown)
            record.state = State::Abandoned;
        else
            m_records.erase(found);
        for (auto& waiter : waiters)
            waiter.completion(Result<HTTPResponse>(fail(ErrorKind::LogUnavailable, result.error().detail)));
        return;
    }
    const auto request = record.request;
    const auto* claim = m_fleetState.claims().find(request.organisation, request.key);
    if (!claim || claim->holder != m_member) {
        m_records.erase(found);
        for (auto& waiter : waiters) {
            if (claim)
                queryHolder(request, *claim, now, std::move(waiter.completion));
            else
                waiter.completion(Result<HTTPResponse>(
                    fail(ErrorKind::LogUnavailable, "the claim of the Idempotency-Key was released in the meantime")));
        }
        return;
    }
    record.state = State::Running;
    // The first waiter runs the request; resends that arrived in the meantime wait for its response.
    auto first = std::move(waiters.front());
    waiters.erase(waiters.begin());
    record.waiters = std::move(waiters);
    first.completion(std::nullopt);
}

void RequestDeduplicator::queryHolder(const Request& request, const Claim& claim, TimePoint now, Completion completion)
{
    const auto* holder = m_fleetState.membership().find(claim.holder);
    const bool isSelf = claim.holder == m_member;
    if (isSelf || !holder || holder->endedOffset) {
        completion(
            Result<HTTPResponse>(fail(ErrorKind::OutcomeUnknown, "the daemon that ran the request no longer has its response")));
        return;
    }
    auto link = m_links.linkTo(holder->address);
    if (!link) {
        completion(Result<HTTPResponse>(fail(ErrorKind::OutcomeUnknown, "the daemon that claimed the request is unreachable")));
        return;
    }
    const uint64_t id = m_nextQueryID++;
    wire::ClaimQueryT query;
    query.id = id;
    query.organisation = request.organisation;
    query.key = request.key;
    query.remaining_us = static_cast<uint64_t>(std::max<int64_t>(0, (request.deadline - now).count()));
    wire::FrameT frame;
    frame.body.Set(std::move(query));
    m_queries[id] = { link, { request.deadline, std::move(completion) } };
    link->send(frame);
}

void RequestDeduplicator::finish(
    const std::string& organisation, const std::string& key, const Result<HTTPResponse>& response, TimePoint now)
{
    const auto name = recordName(organisation, key);
    const auto found = m_records.find(name);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    auto waiters = std::exchange(record.waiters, {});
    const bool notExecuted = !response && isNotExecuted(response.error());
    if (notExecuted) {
        release(record, now);
        record.state = State::Abandoned;
    } else {
        record.state = State::Done;
        record.response = response;
        record.finishedAt = now;
        m_finished.push_back(name);
    }
    for (auto& waiter : waiters)
        waiter.completion(response);
}

void RequestDeduplicator::release(const Record& record, TimePoint now)
{
    const ReleaseEntry entry { record.request.organisation, record.request.key, m_member };
    const auto name = recordName(record.request.organisation, record.request.key);
    m_appends.push(entry, now + releaseTimeout, [this, name](const Result<uint64_t>& result) {
        // Until the log has the release, this daemon refuses the key and other daemons still find this holder in the log.
        if (result)
            m_records.erase(name);
    });
}

void RequestDeduplicator::releaseAbandoned(TimePoint now)
{
    for (auto& [name, record] : m_records) {
        if (record.state != State::Abandoned || record.finishedAt != TimePoint())
            continue;
        const auto* claim = m_fleetState.claims().find(record.request.organisation, record.request.key);
        if (!claim || claim->holder != m_member)
            continue;
        record.finishedAt = now; // Marks the release as pending
        release(record, now);
    }
}

void RequestDeduplicator::onQuery(PeerLink& link, const wire::ClaimQueryT& query, TimePoint now)
{
    const RefPtr<PeerLink> protect(&link);
    const auto id = query.id;
    const auto found = m_records.find(recordName(query.organisation, query.key));
    if (found == m_records.end()) {
        link.send(makeAnswerFrame(
            id, { fail(ErrorKind::OutcomeUnknown, "the daemon that claimed the request no longer has its response"), 0, 0 }));
        return;
    }
    auto request = found->second.request;
    constexpr uint64_t maximumWaitUs = 60'000'000;
    request.deadline = now + Duration(static_cast<int64_t>(std::min(query.remaining_us, maximumWaitUs)));
    respondOrWait(found->second, request, [protect, id](std::optional<Result<HTTPResponse>> response) {
        if (response)
            protect->send(makeAnswerFrame(id, { std::move(*response), 0, 0 }));
    });
}

bool RequestDeduplicator::onAnswer(PeerLink& link, wire::AnswerT& answer)
{
    const auto found = m_queries.find(answer.id);
    if (found == m_queries.end() || found->second.link.get() != &link)
        return answer.id >= firstQueryID;
    const auto completion = std::move(found->second.waiter.completion);
    m_queries.erase(found);
    completion(readOutcome(answer).response);
    return true;
}

void RequestDeduplicator::onLinkClosed(PeerLink& link)
{
    std::vector<Completion> lost;
    std::erase_if(m_queries, [&](auto& item) {
        if (item.second.link.get() != &link)
            return false;
        lost.push_back(std::move(item.second.waiter.completion));
        return true;
    });
    for (const auto& completion : lost)
        completion(Result<HTTPResponse>(
            fail(ErrorKind::OutcomeUnknown, "the connection to the daemon that claimed the request was lost")));
}

void RequestDeduplicator::tick(TimePoint now)
{
    std::vector<Completion> overdue;
    const auto takeOverdue = [&](std::vector<Waiter>& waiters) {
        std::erase_if(waiters, [&](auto& waiter) {
            if (waiter.deadline > now)
                return false;
            overdue.push_back(std::move(waiter.completion));
            return true;
        });
    };
    for (auto& [name, record] : m_records) {
        if (record.state == State::Running)
            takeOverdue(record.waiters);
    }
    std::erase_if(m_queries, [&](auto& item) {
        if (item.second.waiter.deadline > now)
            return false;
        overdue.push_back(std::move(item.second.waiter.completion));
        return true;
    });
    for (const auto& completion : overdue)
        completion(Result<HTTPResponse>(
            fail(ErrorKind::OutcomeUnknown, "the first request with this Idempotency-Key is still running")));
    releaseAbandoned(now);
    evictCachedResponses(now);
}

void RequestDeduplicator::evictCachedResponses(TimePoint now)
{
    while (!m_finished.empty()) {
        const auto found = m_records.find(m_finished.front());
        const bool keep = found != m_records.end() && now - found->second.finishedAt < responseRetention
            && m_finished.size() <= maximumCachedResponses;
        if (keep)
            return;
        if (found != m_records.end())
            m_records.erase(found);
        m_finished.pop_front();
    }
}

} // namespace shallot
