#include "mesh/EndpointLife.h"

#include "mesh/MeshSettings.h"

#include <utility>

namespace shallot {

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

AnnouncementVerdict EndpointLife::recordAnnouncement(const EndpointAnnouncement& announcement, TimePoint now)
{
    const bool sameRun = isCurrentRun(announcement);
    const bool older = m_announced && !sameRun && announcement.startedAt <= m_current.startedAt;
    if (older || (sameRun && announcement.sequence <= m_current.sequence))
        return AnnouncementVerdict::Stale;
    // A run that follows one seen by this process is newer by its start time; only the first announcement can be stale.
    if (!sameRun)
        m_verified = m_announced;
    m_current = announcement;
    // A run that has said that it drains does not return to use, whatever it announces later.
    if (announcement.draining)
        m_leave = { announcement.instance, announcement.startedAt };
    m_announced = true;
    m_unreachable = false;
    m_lastContact = now;
    return sameRun ? AnnouncementVerdict::Renewed : AnnouncementVerdict::NewRun;
}

bool EndpointLife::recordLeave(const std::string& instance, uint64_t startedAt, uint64_t wallClockMs)
{
    // A backend server may start again under the name that it had.
    const bool ofEarlierRun = startedAt && startedAt < m_current.startedAt;
    if (m_announced && (instance != m_current.instance || ofEarlierRun))
        return false;
    const auto knownStart = m_announced && m_current.startedAt ? m_current.startedAt : startedAt;
    if (!m_leave.covers(instance, m_current.startedAt))
        m_leave = { instance, knownStart ? knownStart : wallClockMs };
    return true;
}

void EndpointLife::setFormerLeave(const EndpointLeave& leave)
{
    m_formerLeave = leave;
    m_formerLeaveKnown = true;
}

void EndpointLife::recordProbe(std::string_view instance, uint32_t slots, TimePoint now)
{
    if (!m_announced && slots && !instance.empty()) {
        m_current.instance = instance;
        m_current.slots = slots;
        m_announced = true;
        m_lastContact = now;
    }
    m_verified = m_verified || (m_announced && instance == m_current.instance);
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
    return !m_announced || m_leave.covers(m_current.instance, m_current.startedAt) ? m_leave : EndpointLeave {};
}

} // namespace shallot
