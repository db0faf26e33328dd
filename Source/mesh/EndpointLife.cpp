#include "mesh/EndpointLife.h"

#include "mesh/MeshSettings.h"

#include <algorithm>
#include <utility>

namespace shallot {

namespace {

constexpr size_t maximumLeaves = 16; // Runs at one address follow each other within seconds at most

} // namespace

EndpointLife::EndpointLife(const MeshSettings& settings, std::string service)
    : m_settings(settings)
    , m_service(std::move(service))
{
    m_current.service = m_service;
}

// A run that a probe discovered has no start time until it announces itself.
bool EndpointLife::isCurrentRun(const EndpointAnnouncement& announcement) const
{
    const bool sameStart = announcement.startedAt == m_current.startedAt || !m_current.startedAt;
    return m_announced && announcement.instance == m_current.instance && sameStart;
}

// Verified, not known to have ended and heard of recently.
bool EndpointLife::isInUse(TimePoint now) const
{
    return m_verified && !hasLeft() && !m_unreachable && now - m_lastContact < m_settings.announcementTimeout;
}

void EndpointLife::adopt(const EndpointAnnouncement& announcement, bool verified, TimePoint now)
{
    m_current = announcement;
    m_candidate.reset();
    m_announced = true;
    m_verified = verified;
    m_unreachable = false;
    m_lastContact = now;
    // A run that has said that it drains does not return to use, whatever it announces later.
    if (announcement.draining)
        addLeave({ announcement.instance, announcement.startedAt });
}

// A verified run is replaced only by one that is confirmed, also if it drains: an announcement may be late, or of another writer.
// Confirmed is a run that the health endpoint names, the next run of the same backend server under its name, and one that
// announces itself again while the run in use says nothing and the health endpoint does not answer.
AnnouncementVerdict EndpointLife::recordAnnouncement(const EndpointAnnouncement& announcement, TimePoint now)
{
    if (isCurrentRun(announcement)) {
        if (announcement.sequence <= m_current.sequence)
            return AnnouncementVerdict::Stale;
        adopt(announcement, m_verified, now);
        return AnnouncementVerdict::Renewed;
    }
    if (!m_announced) {
        adopt(announcement, false, now);
        return AnnouncementVerdict::NewRun;
    }
    const bool later = announcement.startedAt > m_current.startedAt;
    if (!later && isInUse(now))
        return AnnouncementVerdict::Stale;
    const bool sameEndpoint = announcement.instance == m_current.instance && announcement.service == m_current.service;
    const bool again = m_candidate && announcement.instance == m_candidate->instance
        && announcement.startedAt == m_candidate->startedAt && announcement.sequence > m_candidate->sequence;
    if (later && (again || (m_verified && sameEndpoint))) {
        adopt(announcement, true, now);
        return AnnouncementVerdict::NewRun;
    }
    m_candidate = announcement;
    m_candidateAt = now;
    return AnnouncementVerdict::Unconfirmed;
}

bool EndpointLife::recordLeave(const std::string& instance, uint64_t startedAt, uint64_t wallClockMs)
{
    // A backend server may start again under the name that it had.
    const bool ofEarlierRun = startedAt && startedAt < m_current.startedAt;
    if (m_announced && instance == m_current.instance && ofEarlierRun)
        return false;
    const bool ofCurrentRun = !m_announced || instance == m_current.instance;
    const auto knownStart = m_announced && ofCurrentRun ? std::max(startedAt, m_current.startedAt) : startedAt;
    addLeave({ instance, knownStart ? knownStart : wallClockMs });
    return ofCurrentRun;
}

const EndpointLeave* EndpointLife::findLeave(const EndpointAnnouncement& run) const
{
    const auto found = std::find_if(m_leaves.rbegin(), m_leaves.rend(),
        [&run](const EndpointLeave& leave) { return leave.covers(run.instance, run.startedAt); });
    return found == m_leaves.rend() ? nullptr : &*found;
}

void EndpointLife::addLeave(const EndpointLeave& leave)
{
    if (std::find(m_leaves.begin(), m_leaves.end(), leave) != m_leaves.end())
        return;
    m_leaves.push_back(leave);
    if (m_leaves.size() > maximumLeaves)
        m_leaves.erase(m_leaves.begin());
}

void EndpointLife::setFormerLeave(const EndpointLeave& leave)
{
    m_formerLeave = leave;
    m_formerLeaveKnown = true;
}

bool EndpointLife::recordProbe(std::string_view instance, uint32_t slots, TimePoint sentAt, TimePoint now)
{
    if (instance.empty())
        return false;
    if (m_candidate && instance == m_candidate->instance) {
        adopt(EndpointAnnouncement(*m_candidate), true, now);
        return true;
    }
    if (!m_announced && slots) {
        m_current.instance = instance;
        m_current.slots = slots;
        m_announced = true;
        m_lastContact = now;
    }
    if (!m_announced || instance != m_current.instance)
        return false;
    m_verified = true;
    // A probe sent earlier may have reached the run before.
    if (m_candidate && m_candidateAt <= sentAt)
        m_candidate.reset();
    return false;
}

bool EndpointLife::hasLeft() const
{
    return !currentLeave().instance.empty() || m_formerLeave.covers(m_current.instance, m_current.startedAt);
}

bool EndpointLife::isAvailable(TimePoint now) const
{
    return m_announced && m_verified && m_formerLeaveKnown && !hasLeft() && !m_unreachable
        && now - m_lastContact < m_settings.announcementTimeout;
}

EndpointLeave EndpointLife::currentLeave() const
{
    const auto* leave = m_announced ? findLeave(m_current) : m_leaves.empty() ? nullptr : &m_leaves.back();
    return leave ? *leave : EndpointLeave {};
}

} // namespace shallot
