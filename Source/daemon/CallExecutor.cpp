#include "daemon/CallExecutor.h"

#include "core/Log.h"
#include "policy/CrashFingerprints.h"
#include "policy/PolicySettings.h"

namespace shallot {

namespace {

constexpr auto announcementTimeout = 3s;    // Without an announcement for this long a backend server counts as crashed
constexpr auto crashAttributionWindow = 5s; // Requests that failed this long before a crash are suspected of causing it
constexpr size_t maximumRecentFailures = 1000;

bool isBackendFailure(const Result<HTTPResponse>& response)
{
    return !response && (response.error().kind == ErrorKind::BackendFailed || response.error().kind == ErrorKind::BadResponse);
}

} // namespace

CallExecutor::CallExecutor(const PolicySettings& settings, CrashFingerprints& crashes)
    : m_settings(settings)
    , m_crashes(crashes)
    , m_level(settings)
    , m_limit(settings)
{
}

CallExecutor::~CallExecutor() = default;

void CallExecutor::announce(const BackendAnnouncement& announcement, TimePoint now)
{
    const bool restarted = !m_announced || announcement.bootID != m_announcement.bootID;
    const bool changed = restarted || announcement.draining != m_announcement.draining
        || announcement.slots != m_announcement.slots || announcement.service != m_announcement.service;
    if (m_announced && restarted)
        recordBackendCrash(now);
    m_announcement = announcement;
    m_lastAnnounced = now;
    m_announced = true;
    m_pool.setAddress(announcement.address);
    if (restarted)
        m_limit.restart(announcement.slots, now);
    m_limit.setSlots(announcement.slots);
    if (changed) {
        SHALLOT_LOG(INFO, "backend") << "Backend server of service " << announcement.service << " at "
                                     << announcement.address.toString()
                                     << (announcement.draining ? " is draining and accepts no new requests." : " is serving.");
        if (m_onChange)
            m_onChange();
    }
    dispatchWaiting(now);
}

void CallExecutor::recordBackendCrash(TimePoint now)
{
    std::erase_if(m_recentFailures, [now](const auto& failure) { return now - failure.time > crashAttributionWindow; });
    std::vector<uint64_t> fingerprints;
    for (const auto& failure : std::exchange(m_recentFailures, {}))
        fingerprints.push_back(failure.fingerprint);
    m_crashes.recordCrash(fingerprints, now);
    SHALLOT_LOG(WARNING, "backend") << "Backend server crashed, restarted or stopped its announcements; " << fingerprints.size()
                                    << " requests that failed shortly before are crash suspects.";
}

ErrorKind CallExecutor::checkAdmission(
    const RequestContext& context, const std::string& service, uint64_t fingerprint, TimePoint now)
{
    if (!m_announced || m_announcement.service != service)
        return ErrorKind::NoBackendServer;
    if (!isAvailable())
        return ErrorKind::Draining;
    if (context.hops > maximumHops)
        return ErrorKind::TooManyHops;
    if (context.remaining <= Duration::zero())
        return ErrorKind::ExpiredInQueue;
    if (m_crashes.isRefused(fingerprint, now))
        return ErrorKind::CrashSuspect;
    m_level.recordArrival(context.score);
    if (!m_level.admits(context.score)) {
        ++m_counters.shedByLevel;
        return ErrorKind::Overloaded;
    }
    if (!makeRoom(context.priority, now)) {
        ++m_counters.shedByQueue;
        return ErrorKind::Overloaded;
    }
    return ErrorKind::None;
}

// When the queue is full, sheds its request of the lowest priority for one of higher priority.
bool CallExecutor::makeRoom(uint8_t priority, TimePoint now)
{
    const auto bound
        = std::max(m_settings.minimumQueueLength, static_cast<size_t>(m_limit.limit(now) * m_settings.queueLengthPerSlot));
    if (m_queue.size() < bound)
        return true;
    auto* victim = m_queue.evictionCandidate();
    if (!victim || victim->priority >= priority)
        return false;
    ++m_counters.shedByQueue;
    m_queue.remove(*victim);
    const RefPtr<LiveCall> call = m_calls.at(victim->id);
    finish(*call, fail(ErrorKind::Overloaded, "shed from the full queue for a request of higher priority"));
    return true;
}

uint64_t CallExecutor::submit(
    const RequestContext& context, const std::string& service, HTTPRequest request, TimePoint now, CallCompletion completion)
{
    const uint64_t id = m_nextID++;
    const uint64_t fingerprint = requestFingerprint(context.organisation, request.method, request.target, request.body);
    if (const auto refusal = checkAdmission(context, service, fingerprint, now); refusal != ErrorKind::None) {
        completion({ fail(refusal), context.retryTokens, m_level.level() });
        return id;
    }
    auto call = makeRef<LiveCall>();
    call->item.id = id;
    call->item.priority = context.priority;
    call->item.organisation = context.organisation;
    call->item.deadline = now + context.remaining;
    call->context = context;
    call->request = std::move(request);
    call->callToken = makeRandomRequestID();
    call->deadline = now + context.remaining;
    call->fingerprint = fingerprint;
    call->tokens = RetryTokens(context.retryTokens);
    call->completion = std::move(completion);
    m_calls[id] = call;
    m_queue.push(call->item);
    dispatchWaiting(now);
    return id;
}

void CallExecutor::dispatchWaiting(TimePoint now)
{
    while (m_queue.size() && m_running < m_limit.limit(now)) {
        auto* item = m_queue.pop();
        const RefPtr<LiveCall> call = m_calls.at(item->id);
        if (call->deadline <= now) {
            ++m_counters.expired;
            finish(*call, fail(ErrorKind::ExpiredInQueue));
            continue;
        }
        dispatch(*call, now);
    }
}

HTTPRequest CallExecutor::requestForBackend(const LiveCall& call, TimePoint now) const
{
    HTTPRequest request { call.request.method, call.request.target, {}, call.request.body };
    for (const auto& [name, value] : call.request.headers) {
        if (!isHopByHopHeader(name) && !equalsIgnoringCase(name, "host") && isSafeHeader(name, value))
            request.headers.emplace_back(name, value);
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
    request.headers.emplace_back("Host", m_announcement.address.toString());
    request.headers.emplace_back("X-Shallot-Token", toHex(call.callToken));
    request.headers.emplace_back("X-Shallot-Deadline-Ms", std::to_string(std::max<int64_t>(1, remaining.count())));
    return request;
}

void CallExecutor::dispatch(LiveCall& call, TimePoint now)
{
    call.running = true;
    ++m_running;
    m_callIDsByToken[call.callToken] = call.item.id;
    m_pool.send(call.item.id, requestForBackend(call, now),
        [this, protect = RefPtr<LiveCall>(&call)](Result<HTTPResponse> response) { onResponse(protect, std::move(response)); });
}

void CallExecutor::onResponse(const RefPtr<LiveCall>& call, Result<HTTPResponse> response)
{
    const auto now = MonotonicClock::now();
    const bool unreachable = !response && response.error().kind == ErrorKind::NoBackendServer;
    m_limit.recordOutcome(!response || response->status == 503);
    if (isBackendFailure(response)) {
        ++m_counters.failed;
        if (m_recentFailures.size() < maximumRecentFailures)
            m_recentFailures.push_back({ call->fingerprint, now });
        if (!call->context.idempotent)
            response = fail(ErrorKind::OutcomeUnknown, response.error().detail);
    } else if (response) {
        ++m_counters.completed;
        m_crashes.recordSuccess(call->fingerprint);
    }
    m_level.recordCompletion();
    finish(*call, std::move(response));
    if (unreachable && m_announced) {
        // The next announcement makes it available again, whether it has restarted or not.
        m_announced = false;
        if (!m_recentFailures.empty())
            recordBackendCrash(now);
        if (m_onChange)
            m_onChange();
    }
    dispatchWaiting(now);
}

void CallExecutor::finish(LiveCall& call, Result<HTTPResponse> response)
{
    const RefPtr<LiveCall> protect(&call);
    endCall(call);
    const float level = std::max(m_level.level(), call.downstreamLevel);
    if (const auto completion = std::exchange(call.completion, nullptr))
        completion({ std::move(response), call.tokens.remaining(), level });
}

void CallExecutor::endCall(LiveCall& call)
{
    m_queue.remove(call.item);
    if (call.running)
        --m_running;
    call.running = false;
    m_callIDsByToken.erase(call.callToken);
    m_calls.erase(call.item.id);
    for (const auto& onEnd : std::exchange(call.onEnd, {}))
        onEnd();
}

void CallExecutor::cancel(uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const RefPtr<LiveCall> call = found->second;
    call->completion = nullptr;
    // A running non-idempotent call is not aborted halfway, because it must not be run again.
    if (call->running && !call->context.idempotent)
        return;
    if (call->running)
        m_pool.abandon(id);
    endCall(*call);
    dispatchWaiting(MonotonicClock::now());
}

RefPtr<LiveCall> CallExecutor::findByCallToken(const RequestID& callToken) const
{
    const auto found = m_callIDsByToken.find(callToken);
    return found == m_callIDsByToken.end() ? nullptr : m_calls.at(found->second);
}

void CallExecutor::tick(TimePoint now)
{
    for (auto* item : m_queue.takeExpired(now)) {
        ++m_counters.expired;
        const RefPtr<LiveCall> call = m_calls.at(item->id);
        finish(*call, fail(ErrorKind::ExpiredInQueue));
    }
    std::vector<RefPtr<LiveCall>> overdue;
    for (const auto& [id, call] : m_calls) {
        if (call->running && call->deadline <= now)
            overdue.push_back(call);
    }
    for (const auto& call : overdue) {
        m_pool.abandon(call->item.id);
        m_limit.recordOutcome(true);
        finish(*call,
            fail(call->context.idempotent ? ErrorKind::TimedOut : ErrorKind::OutcomeUnknown,
                "the time limit passed before the backend server responded"));
    }
    m_limit.tick(now);
    m_level.tick(now, m_queue.size(), m_limit.limit(now), m_running < m_limit.limit(now));
    if (m_announced && now - m_lastAnnounced > announcementTimeout) {
        m_announced = false;
        recordBackendCrash(now);
        if (m_onChange)
            m_onChange();
    }
    dispatchWaiting(now);
}

} // namespace shallot
