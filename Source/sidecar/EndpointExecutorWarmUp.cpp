// Index of this file
//   Cold state:  setColdStarts, limitColdTime, recordColdAnnouncement, recordColdTime, checkSilence, probeColdState
//   Rate:        updateWarmUp
//   Evacuation:  setEvacuated

#include "core/EventLog.h"
#include "mesh/MeshSettings.h"
#include "platform/RequestCodec.h"
#include "sidecar/EndpointExecutor.h"

#include <algorithm>

namespace shallot {

namespace {

constexpr auto coldProbeTimeout = 500ms; // A warm backend server answers within milliseconds
// A backend server that is silent for longer may have restarted. Of the time until it counts as unavailable; more than two
// announcement intervals.
constexpr double silenceShare = 0.7;

} // namespace

// Cold backend servers

void EndpointExecutor::setColdStarts(std::map<std::string, ColdStart> coldStarts)
{
    m_coldStarts = std::move(coldStarts);
    updateWarmUp(MonotonicClock::now());
}

// A longer time than the service allows cannot be true, and would keep the backend server out of use.
Duration EndpointExecutor::limitColdTime(Duration named) const
{
    auto coldFor = named;
    if (!m_warmUp.limit(coldFor) && m_warmUp.isLimitedByService()) {
        EventLog::write("cold-time-limited",
            { { "backend_server", m_life.current().instance }, { "named_s", toSeconds(named) },
                { "kept_s", toSeconds(coldFor) } });
    }
    return coldFor;
}

void EndpointExecutor::recordColdAnnouncement(TimePoint now)
{
    updateWarmUp(now); // The service may be another one now
    m_warmUp.recordAnnouncement(limitColdTime(m_life.current().warmUpTime), now);
    updateWarmUp(now);
    probeColdState();
}

void EndpointExecutor::recordColdTime(const HTTPResponse& response, TimePoint sentAt, TimePoint now)
{
    const auto coldFor = platform::coldTimeOf(response);
    if (!coldFor)
        return;
    updateWarmUp(now);
    m_warmUp.recordProbe(limitColdTime(*coldFor), sentAt, now);
    updateWarmUp(now);
}

// One that was silent may have come back cold under its name, and its first announcement may be late.
void EndpointExecutor::checkSilence(TimePoint now)
{
    const auto silence = now - m_life.lastContact();
    const bool isSilent = toSeconds(silence) > silenceShare * toSeconds(m_settings.announcementTimeout);
    if (!isSilent || !m_warmUp.isLimitedByService() || m_warmUp.isUnknown() || !m_life.isAvailable(now))
        return;
    EventLog::write(
        "backend-server-silent", { { "backend_server", m_life.current().instance }, { "silent_s", toSeconds(silence) } });
    m_warmUp.recordUnknown(now);
    updateWarmUp(now);
    probeColdState();
}

void EndpointExecutor::probeColdState()
{
    const auto path = m_healthPaths.find(m_life.service());
    // One that is unavailable announces itself before it is used again.
    if (path == m_healthPaths.end() || !m_warmUp.isUnknown() || !m_life.isAvailable(MonotonicClock::now()))
        return;
    m_probePool.abandon(m_coldProbeID);
    m_coldProbeID = m_nextID++;
    const auto sentAt = MonotonicClock::now();
    m_coldProbeTimer.startOnce(coldProbeTimeout, [this] { probeColdState(); });
    m_probePool.send(m_coldProbeID, { "GET", path->second, { { "Host", m_host } }, {} },
        [this, sentAt](const Result<HTTPResponse>& response) {
            const auto now = MonotonicClock::now();
            if (response && platform::classifyResponse(*response) != platform::ResponseClass::NotExecuted
                && platform::instanceOf(*response) == m_life.current().instance)
                recordColdTime(*response, sentAt, now);
            if (m_warmUp.isUnknown())
                m_coldProbeTimer.startOnce(m_settings.warmUpProbeInterval, [this] { probeColdState(); });
            else
                m_coldProbeTimer.stop();
        },
        { .maximumIdle = Duration::zero() });
}

void EndpointExecutor::updateWarmUp(TimePoint now)
{
    const auto found = m_coldStarts.find(m_life.service());
    m_warmUp.setColdStart(found == m_coldStarts.end() ? ColdStart {} : found->second);
    const auto serviceTime = std::max<Duration>(m_queue.serviceTime(), m_settings.assumedServiceTime);
    const double capacity = m_queue.limit() / toSeconds(serviceTime);
    const auto warmUpLimit = m_warmUp.rateLimit(capacity, now);
    auto limit = m_rateLimit;
    if (warmUpLimit)
        limit = std::min(limit.value_or(*warmUpLimit), *warmUpLimit);
    m_queue.setRateLimit(limit, now);
    if (const auto change = m_warmUp.nextChangeIn(capacity, now)) {
        m_warmUpTimer.startOnce(*change, [this] {
            const auto now = MonotonicClock::now();
            updateWarmUp(now);
            runNext(now);
        });
    } else {
        m_warmUpTimer.stop();
    }
    if (std::exchange(m_warmingUp, warmUpLimit.has_value()) == warmUpLimit.has_value())
        return;
    EventLog::write(warmUpLimit ? "warm-up-begins" : "warm-up-ends",
        { { "backend_server", m_life.current().instance }, { "cold_s", toSeconds(m_warmUp.coldFor(now)) },
            { "state_known", !m_warmUp.isUnknown() }, { "per_second", warmUpLimit.value_or(0) } });
    // Senders would find out with their next requests only, all of which meet the limit, or are kept away by it.
    m_limitNoticePending = true;
    if (!m_limitNoticeWaits)
        announceLimitRise();
}

// Evacuation

// The backend server may have become cold meanwhile.
void EndpointExecutor::setEvacuated(bool evacuated, TimePoint now)
{
    if (evacuated == std::exchange(m_evacuated, evacuated))
        return;
    if (!evacuated) {
        if (m_warmUp.isLimitedByService())
            m_warmUp.recordUnknown(now);
        updateWarmUp(now);
        updateAvailability();
        probeColdState();
        return;
    }
    updateAvailability();
    std::vector<RefPtr<LiveRun>> waiting;
    for (const auto& [id, live] : m_calls) {
        if (!live->running)
            waiting.push_back(live);
    }
    for (const auto& live : waiting)
        refuse(*live, ErrorKind::NoBackendServer, now);
}

} // namespace shallot
