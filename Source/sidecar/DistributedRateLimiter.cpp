#include "sidecar/DistributedRateLimiter.h"

#include "core/Digest.h"
#include "core/EventLog.h"
#include "core/Numbers.h"
#include "mesh/MeshSettings.h"
#include "sidecar/MeshLinks.h"
#include "sidecar/MeshView.h"
#include "wire/Frames_generated.h"

#include <cmath>
#include <set>

namespace shallot {

namespace {

constexpr double maximumTokensPerFrame = 1e6; // More than any burst

std::unique_ptr<wire::LoanRequestT> makeRequest(const std::string& organisation, const RateSettlement& settlement)
{
    auto request = std::make_unique<wire::LoanRequestT>();
    request->organisation = organisation;
    if (settlement.unused) {
        auto returned = std::make_unique<wire::ReturnedLoanT>();
        returned->tokens = settlement.unused;
        request->returned.push_back(std::move(returned));
    }
    request->spent = settlement.spentLocally;
    return request;
}

// A peer may send any number; values that are no token count return nothing.
unsigned readReturnedTokens(const wire::ReturnedLoanT& returned)
{
    return returned.tokens > 0 && returned.tokens < maximumTokensPerFrame ? static_cast<unsigned>(returned.tokens) : 0;
}

Duration readMovedAgo(const wire::LoanRequestT& request)
{
    constexpr uint64_t maximumMicroseconds = 3'600'000'000; // One hour, far longer than any share lease
    return Duration(static_cast<int64_t>(std::min(request.moved_ago_us, maximumMicroseconds)));
}

RateSettlement readSettlement(const wire::LoanRequestT& request)
{
    RateSettlement settlement;
    for (const auto& returned : request.returned)
        settlement.unused += readReturnedTokens(*returned);
    settlement.spentLocally = std::min(request.spent, static_cast<uint32_t>(maximumTokensPerFrame));
    return settlement;
}

} // namespace

DistributedRateLimiter::DistributedRateLimiter(
    const MeshSettings& settings, MeshView& view, MeshLinks& links, std::string ownName)
    : m_settings(settings)
    , m_view(view)
    , m_links(links)
    , m_ownName(std::move(ownName))
    , m_localShares(settings)
    , m_ledgers(settings.ledgerCount, RateLedger(settings))
    , m_ownerTrackers(settings.ledgerCount)
{
}

size_t DistributedRateLimiter::ledgerNumber(const std::string& organisation) const
{
    return stableHash(organisation) % m_settings.ledgerCount;
}

std::optional<RatePlan> DistributedRateLimiter::findPlan(const std::string& organisation) const
{
    if (!m_view.routes())
        return std::nullopt;
    for (const auto& item : m_view.routes()->configuration().organisations) {
        if (item.name == organisation)
            return RatePlan { item.rate, item.burst };
    }
    return std::nullopt;
}

void DistributedRateLimiter::request(const MeshOrganisation& organisation, TimePoint now, Completion completion)
{
    if (organisation.rate <= 0) {
        completion({ 0, true, false, {} });
        return;
    }
    auto& state = m_states.try_emplace(organisation.name, m_settings).first->second;
    state.plan = { organisation.rate, organisation.burst };
    const auto id = m_nextRequest++;
    m_completions[id] = std::move(completion);
    state.account.add(id);
    if (!state.account.hasOpenTokenRequest())
        requestTokens(organisation.name, state, now);
}

void DistributedRateLimiter::requestTokens(const std::string& organisation, OrganisationState& state, TimePoint now)
{
    const auto sequence = m_nextSequence++;
    const auto wanted = state.account.openTokenRequest(sequence);
    const auto number = ledgerNumber(organisation);
    const auto* ledger = m_view.endpoints().ledgerOwner(number);
    if (!ledger) {
        state.unknownSince = {};
        const auto grant = m_localShares.grant(
            organisation, wanted, state.plan, m_view.endpoints().countShareHolders(now), now, state.unknownSince);
        complete(organisation, state, state.account.applyLocalGrant(grant), now);
        return;
    }
    const auto movedAgo = m_ownerTrackers[number].recordMessageTo(ledger->member.name, now);
    if (ledger->member.name == m_ownName) {
        auto& own = m_ledgers[number];
        const auto holders = m_view.endpoints().countShareHolders(now);
        own.recordContact(m_ownName, movedAgo, now);
        own.settle(organisation, state.account.settle(), state.plan, holders, now);
        const auto grant = own.grant(organisation, wanted, state.plan, holders, now);
        complete(organisation, state, state.account.applyGrant(sequence, grant), now);
        return;
    }
    auto request = makeRequest(organisation, state.account.settle());
    request->waiting = wanted;
    request->moved_ago_us = static_cast<uint64_t>(movedAgo.count());
    wire::LoanRequestsT requests;
    requests.sequence = sequence;
    requests.requests.push_back(std::move(request));
    wire::FrameT frame;
    frame.body.Set(std::move(requests));
    state.ledger = ledger->member.name;
    state.timeout.startOnce(m_settings.ledgerRequestTimeout, [this, organisation] { onTimeout(organisation); });
    if (const auto link = m_links.linkTo(ledger->member.address))
        link->send(frame);
}

void DistributedRateLimiter::complete(
    const std::string& organisation, OrganisationState& state, const RateAccount::Decisions& decisions, TimePoint now)
{
    if (!state.account.hasOpenTokenRequest())
        state.timeout.stop();
    for (const auto& decision : decisions) {
        const auto found = m_completions.find(decision.request);
        const auto completion = std::move(found->second);
        m_completions.erase(found);
        completion(decision);
    }
    if (state.account.hasWaiting() && !state.account.hasOpenTokenRequest())
        requestTokens(organisation, state, now);
}

void DistributedRateLimiter::onTimeout(const std::string& organisation)
{
    auto& state = m_states.at(organisation);
    state.unknownSince = {};
    const auto now = MonotonicClock::now();
    if (++state.timeouts >= m_settings.maximumLedgerTimeouts) {
        state.timeouts = 0;
        const auto firstRequestedAt = now - m_settings.maximumLedgerTimeouts * m_settings.ledgerRequestTimeout;
        m_view.endpoints().recordUnreachable(state.ledger, firstRequestedAt, now);
    }
    completeFromLocalShare(organisation, state, "ledger-silent", now);
}

// The ledger's owner gave no answer that decides the open token request.
void DistributedRateLimiter::completeFromLocalShare(
    const std::string& organisation, OrganisationState& state, const char* event, TimePoint now)
{
    const auto wanted = state.account.requestedTokens();
    const auto grant = m_localShares.grant(
        organisation, wanted, state.plan, m_view.endpoints().countShareHolders(now), now, state.unknownSince);
    EventLog::write(event,
        { { "organisation", organisation }, { "ledger", state.ledger }, { "waiting", wanted }, { "granted", grant.tokens } });
    complete(organisation, state, state.account.applyLocalGrantOnTimeout(grant), now);
}

void DistributedRateLimiter::sendHeartbeats(TimePoint now)
{
    // With an incomplete member list the wrong members would be taken for owners.
    if (!m_view.isInitialized())
        return;
    Heartbeats heartbeats;
    for (size_t ledger = 0; ledger < m_ledgers.size(); ++ledger) {
        if (const auto* unreachable = m_view.endpoints().ledgerOwnerToProbe(ledger, now))
            m_links.probe(unreachable->member.address);
        const auto* owner = m_view.endpoints().ledgerOwner(ledger);
        if (!owner)
            continue;
        const auto movedAgo = m_ownerTrackers[ledger].recordMessageTo(owner->member.name, now);
        if (owner->member.name == m_ownName) {
            m_ledgers[ledger].recordContact(m_ownName, movedAgo, now);
            continue;
        }
        // A request without an organisation is a heartbeat; `waiting` then holds the ledger number.
        auto heartbeat = std::make_unique<wire::LoanRequestT>();
        heartbeat->waiting = static_cast<uint32_t>(ledger);
        heartbeat->moved_ago_us = static_cast<uint64_t>(movedAgo.count());
        heartbeats[owner].requests.push_back(std::move(heartbeat));
    }
    for (auto& [organisation, state] : m_states) {
        if (state.account.hasSettlement())
            settleAccount(organisation, state, heartbeats, now);
    }
    for (auto& [owner, heartbeat] : heartbeats) {
        wire::FrameT frame;
        frame.body.Set(std::move(heartbeat));
        if (const auto link = m_links.linkTo(owner->member.address))
            link->send(frame);
    }
}

void DistributedRateLimiter::returnToken(const std::string& organisation)
{
    const auto found = m_states.find(organisation);
    if (found != m_states.end())
        found->second.account.returnToken();
}

// Settlements of an organisation without an open token request are sent with the heartbeat of its ledger.
void DistributedRateLimiter::settleAccount(
    const std::string& organisation, OrganisationState& state, Heartbeats& heartbeats, TimePoint now)
{
    const auto number = ledgerNumber(organisation);
    const auto* owner = m_view.endpoints().ledgerOwner(number);
    if (!owner)
        return;
    const auto settlement = state.account.settle();
    if (owner->member.name == m_ownName) {
        m_ledgers[number].settle(organisation, settlement, state.plan, m_view.endpoints().countShareHolders(now), now);
        return;
    }
    auto request = makeRequest(organisation, settlement);
    request->moved_ago_us = static_cast<uint64_t>(m_ownerTrackers[number].recordMessageTo(owner->member.name, now).count());
    heartbeats[owner].requests.push_back(std::move(request));
}

void DistributedRateLimiter::handOver(TimePoint now)
{
    m_view.endpoints().recordLeaving(m_ownName, true);
    for (size_t ledger = 0; ledger < m_ledgers.size(); ++ledger) {
        const auto tokens = m_ledgers[ledger].handOver(now);
        const auto* next = m_view.endpoints().ledgerOwner(ledger);
        if (tokens.empty() || !next)
            continue;
        wire::LoansT loans;
        for (const auto& [organisation, left] : tokens) {
            auto loan = std::make_unique<wire::LoanT>();
            loan->organisation = organisation;
            loan->tokens = left;
            loans.loans.push_back(std::move(loan));
        }
        EventLog::write(
            "ledger-handed-over", { { "ledger", ledger }, { "to", next->member.name }, { "organisations", tokens.size() } });
        wire::FrameT frame;
        frame.body.Set(std::move(loans));
        if (const auto link = m_links.linkTo(next->member.address))
            link->send(frame);
    }
}

void DistributedRateLimiter::onRequests(PeerLink& link, const wire::LoanRequestsT& requests, TimePoint now)
{
    wire::LoansT loans;
    loans.sequence = requests.sequence;
    for (const auto& request : requests.requests) {
        if (!request)
            continue;
        if (request->organisation.empty()) {
            if (request->waiting < m_ledgers.size())
                m_ledgers[request->waiting].recordContact(link.peer(), readMovedAgo(*request), now);
            continue;
        }
        auto& ledger = m_ledgers[ledgerNumber(request->organisation)];
        ledger.recordContact(link.peer(), readMovedAgo(*request), now);
        if (auto loan = answerRequest(ledger, *request, now))
            loans.loans.push_back(std::move(loan));
    }
    if (loans.loans.empty())
        return;
    wire::FrameT frame;
    frame.body.Set(std::move(loans));
    link.send(frame);
}

// Null if the request asks for no tokens.
std::unique_ptr<wire::LoanT> DistributedRateLimiter::answerRequest(
    RateLedger& ledger, const wire::LoanRequestT& request, TimePoint now)
{
    const auto plan = findPlan(request.organisation);
    const auto holders = m_view.endpoints().countShareHolders(now);
    auto loan = std::make_unique<wire::LoanT>();
    loan->organisation = request.organisation;
    loan->plan_unknown = !plan;
    if (!plan) {
        EventLog::write("plan-unknown", { { "organisation", request.organisation }, { "waiting", request.waiting } });
        ledger.settleUnknown(request.organisation, readSettlement(request));
        return request.waiting ? std::move(loan) : nullptr;
    }
    ledger.settle(request.organisation, readSettlement(request), *plan, holders, now);
    if (!request.waiting)
        return nullptr;
    const auto granted = ledger.grant(request.organisation, request.waiting, *plan, holders, now);
    loan->tokens = granted.tokens;
    loan->retry_after_us = static_cast<uint64_t>(granted.retryAfter.count());
    return loan;
}

void DistributedRateLimiter::onGrants(const wire::LoansT& loans, TimePoint now)
{
    for (const auto& loan : loans.loans) {
        if (!loan || !std::isfinite(loan->tokens))
            continue;
        if (!loans.sequence) { // A handover from the ledger's previous owner
            m_ledgers[ledgerNumber(loan->organisation)].acceptHandover(loan->organisation, loan->tokens, now);
            continue;
        }
        const auto found = m_states.find(loan->organisation);
        if (found == m_states.end())
            continue;
        auto& state = found->second;
        if (loan->plan_unknown) {
            if (state.unknownSince == TimePoint())
                state.unknownSince = now;
            if (state.account.openSequence() == loans.sequence)
                completeFromLocalShare(found->first, state, "ledger-without-plan", now);
            continue;
        }
        state.unknownSince = {};
        const RateGrant grant { saturatedCast<unsigned>(loan->tokens), Duration(static_cast<int64_t>(loan->retry_after_us)) };
        if (state.account.openSequence() == loans.sequence)
            state.timeouts = 0;
        else
            EventLog::write("ledger-late", { { "organisation", loan->organisation }, { "tokens", grant.tokens } });
        complete(found->first, state, state.account.applyGrant(loans.sequence, grant), now);
    }
}

} // namespace shallot
