#include "daemon/ClaimKeeper.h"

#include "daemon/CallFrames.h"
#include "log/AppendQueue.h"
#include "net/PeerLinks.h"
#include "wire/Frames_generated.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto answerRetention = 15min; // Finished answers are given to resends this long
constexpr size_t maximumAnswers = 20'000;
constexpr auto releaseDeadline = 60s;       // A release waits this long for the log; after that the key stays claimed
constexpr uint64_t firstQuery = 1ULL << 63; // Keeps the ids of queries and calls apart on a link

std::string nameOf(const std::string& organisation, const std::string& key)
{
    return std::to_string(organisation.size()) + ":" + organisation + key;
}

} // namespace

ClaimKeeper::ClaimKeeper(const FleetState& fleetState, AppendQueue& appends, PeerLinks& links, std::string member)
    : m_fleetState(fleetState)
    , m_appends(appends)
    , m_links(links)
    , m_member(std::move(member))
    , m_nextQuery(firstQuery)
{
}

void ClaimKeeper::claim(const Request& request, TimePoint now, Completion completion)
{
    const auto name = nameOf(request.organisation, request.key);
    const auto* claim = m_fleetState.claims().find(request.organisation, request.key);
    if (claim && claim->fingerprint != request.fingerprint) {
        completion(Result<HTTPResponse>(fail(ErrorKind::BadRequest, "the Idempotency-Key was used for another request")));
        return;
    }
    if (const auto found = m_records.find(name); found != m_records.end()) {
        waitFor(found->second, request, std::move(completion));
        return;
    }
    if (claim) {
        askHolder(request, *claim, now, std::move(completion));
        return;
    }
    auto& record = m_records[name];
    record.request = request;
    record.waiters.push_back({ request.deadline, std::move(completion) });
    const ClaimEntry entry { request.organisation, request.key, request.fingerprint, m_member };
    m_appends.push(entry, request.deadline,
        [this, name](const Result<uint64_t>& result) { onClaimFolded(name, result, MonotonicClock::now()); });
}

void ClaimKeeper::waitFor(Record& record, const Request& request, Completion completion)
{
    if (record.request.fingerprint != request.fingerprint)
        completion(Result<HTTPResponse>(fail(ErrorKind::BadRequest, "the Idempotency-Key was used for another request")));
    else if (record.state == State::Done)
        completion(record.answer);
    else if (record.state == State::Abandoned)
        completion(Result<HTTPResponse>(fail(ErrorKind::LogUnavailable, "an earlier claim of the key is still undecided")));
    else
        record.waiters.push_back({ request.deadline, std::move(completion) });
}

void ClaimKeeper::onClaimFolded(const std::string& name, const Result<uint64_t>& result, TimePoint now)
{
    const auto found = m_records.find(name);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    auto waiters = std::exchange(record.waiters, {});
    if (!result) {
        // Nothing has run and nothing will: if the claim still wins later, it is released.
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
                askHolder(request, *claim, now, std::move(waiter.completion));
            else
                waiter.completion(Result<HTTPResponse>(fail(ErrorKind::LogUnavailable, "the claim was released meanwhile")));
        }
        return;
    }
    record.state = State::Running;
    // The first waiter runs the request; resends that came in meanwhile wait for its answer.
    auto first = std::move(waiters.front());
    waiters.erase(waiters.begin());
    record.waiters = std::move(waiters);
    first.completion(std::nullopt);
}

void ClaimKeeper::askHolder(const Request& request, const Claim& claim, TimePoint now, Completion completion)
{
    const auto* holder = m_fleetState.membership().find(claim.holder);
    const bool isSelf = claim.holder == m_member;
    if (isSelf || !holder || holder->endedOffset) {
        completion(
            Result<HTTPResponse>(fail(ErrorKind::OutcomeUnknown, "the daemon that ran the request no longer has its answer")));
        return;
    }
    auto link = m_links.linkTo(holder->address);
    if (!link) {
        completion(Result<HTTPResponse>(fail(ErrorKind::OutcomeUnknown, "the daemon that runs the request cannot be reached")));
        return;
    }
    const uint64_t id = m_nextQuery++;
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

void ClaimKeeper::finish(
    const std::string& organisation, const std::string& key, const Result<HTTPResponse>& answer, TimePoint now)
{
    const auto name = nameOf(organisation, key);
    const auto found = m_records.find(name);
    if (found == m_records.end())
        return;
    auto& record = found->second;
    auto waiters = std::exchange(record.waiters, {});
    const bool notRun = !answer && errorInfo(answer.error().kind).execution == ExecutionState::NotExecuted;
    if (notRun) {
        release(record, now);
        record.state = State::Abandoned;
    } else {
        record.state = State::Done;
        record.answer = answer;
        record.finishedAt = now;
        m_finished.push_back(name);
    }
    for (auto& waiter : waiters)
        waiter.completion(answer);
}

void ClaimKeeper::release(const Record& record, TimePoint now)
{
    const ReleaseEntry entry { record.request.organisation, record.request.key, m_member };
    const auto name = nameOf(record.request.organisation, record.request.key);
    m_appends.push(entry, now + releaseDeadline, [this, name](const Result<uint64_t>& result) {
        // While the release is undecided the key stays refused here, and elsewhere the log still names this holder.
        if (result)
            m_records.erase(name);
    });
}

void ClaimKeeper::releaseAbandoned(TimePoint now)
{
    for (auto& [name, record] : m_records) {
        if (record.state != State::Abandoned || record.finishedAt != TimePoint())
            continue;
        const auto* claim = m_fleetState.claims().find(record.request.organisation, record.request.key);
        if (!claim || claim->holder != m_member)
            continue;
        record.finishedAt = now; // Marks that the release is under way
        release(record, now);
    }
}

void ClaimKeeper::onQuery(PeerLink& link, const wire::ClaimQueryT& query, TimePoint now)
{
    const RefPtr<PeerLink> protect(&link);
    const auto id = query.id;
    const auto found = m_records.find(nameOf(query.organisation, query.key));
    if (found == m_records.end()) {
        link.send(makeAnswerFrame(id, { fail(ErrorKind::OutcomeUnknown, "the answer is no longer kept"), 0, 0 }));
        return;
    }
    auto request = found->second.request;
    constexpr uint64_t longestWaitUs = 60'000'000;
    request.deadline = now + Duration(static_cast<int64_t>(std::min(query.remaining_us, longestWaitUs)));
    waitFor(found->second, request, [protect, id](std::optional<Result<HTTPResponse>> answer) {
        if (answer)
            protect->send(makeAnswerFrame(id, { std::move(*answer), 0, 0 }));
    });
}

bool ClaimKeeper::onAnswer(PeerLink& link, wire::AnswerT& answer)
{
    const auto found = m_queries.find(answer.id);
    if (found == m_queries.end() || found->second.link.get() != &link)
        return answer.id >= firstQuery;
    const auto completion = std::move(found->second.waiter.completion);
    m_queries.erase(found);
    completion(readOutcome(answer).response);
    return true;
}

void ClaimKeeper::onLinkClosed(PeerLink& link)
{
    std::vector<Completion> lost;
    std::erase_if(m_queries, [&](auto& item) {
        if (item.second.link.get() != &link)
            return false;
        lost.push_back(std::move(item.second.waiter.completion));
        return true;
    });
    for (const auto& completion : lost)
        completion(Result<HTTPResponse>(fail(ErrorKind::OutcomeUnknown, "the daemon that runs the request was lost")));
}

void ClaimKeeper::tick(TimePoint now)
{
    std::vector<Completion> late;
    const auto takeLate = [&](std::vector<Waiter>& waiters) {
        std::erase_if(waiters, [&](auto& waiter) {
            if (waiter.deadline > now)
                return false;
            late.push_back(std::move(waiter.completion));
            return true;
        });
    };
    for (auto& [name, record] : m_records) {
        if (record.state == State::Running)
            takeLate(record.waiters);
    }
    std::erase_if(m_queries, [&](auto& item) {
        if (item.second.waiter.deadline > now)
            return false;
        late.push_back(std::move(item.second.waiter.completion));
        return true;
    });
    for (const auto& completion : late)
        completion(Result<HTTPResponse>(fail(ErrorKind::OutcomeUnknown, "the request is still running")));
    releaseAbandoned(now);
    forgetOldAnswers(now);
}

void ClaimKeeper::forgetOldAnswers(TimePoint now)
{
    while (!m_finished.empty()) {
        const auto found = m_records.find(m_finished.front());
        const bool keep
            = found != m_records.end() && now - found->second.finishedAt < answerRetention && m_finished.size() <= maximumAnswers;
        if (keep)
            return;
        if (found != m_records.end())
            m_records.erase(found);
        m_finished.pop_front();
    }
}

} // namespace shallot
