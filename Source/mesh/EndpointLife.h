#pragma once

#include "mesh/EndpointAnnouncement.h"
#include "mesh/EndpointLeave.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

struct MeshSettings;

// What became of an announcement.
enum class AnnouncementVerdict : uint8_t {
    Stale,       // Older than what is known; changes nothing
    Renewed,     // Of the current run
    NewRun,      // Another run of a backend server is the current one now
    Unconfirmed, // Names another run than the one in use; changes nothing until that run is confirmed
};

// What this daemon believes of the backend server beside it, and on whose word: which run is at the address, of which service,
// and whether it has left. docs/design/authority.md says who may change what.
class EndpointLife {
public:
    // `service` is the configured service of the instance; it counts until a run is verified.
    EndpointLife(const MeshSettings&, std::string service);

    AnnouncementVerdict recordAnnouncement(const EndpointAnnouncement&, TimePoint now);
    // Both times are milliseconds since 1970. `startedAt`: of the run that leaves; 0 if it is not known. No run that starts after
    // `wallClockMs` is meant. Returns whether the leave concerns the current run, or any if none was announced; that of another
    // one is kept for its announcements.
    bool recordLeave(const std::string& instance, uint64_t startedAt, uint64_t wallClockMs);
    // The last leave stored before this daemon started. No run is available until it is known: the first announcement after a
    // restart may be from a backend server that has left.
    void setFormerLeave(const EndpointLeave&);
    // A healthy response of the backend server, which names itself, to a probe sent at that time. `slots`: zero if it does not
    // name them. Returns whether it confirmed another run, which is the current one now.
    bool recordProbe(std::string_view instance, uint32_t slots, TimePoint sentAt, TimePoint now);
    // It responded to a request.
    void recordResponse(TimePoint now) { m_lastContact = now; }
    // It refused a connection, or another run is at the address; unavailable until its next announcement.
    void recordUnreachable() { m_unreachable = true; }

    bool isAnnounced() const { return m_announced; }
    // The first announcement after a start may be stale: a probe confirms it.
    bool isVerified() const { return m_verified; }
    // Whether a probe could show which run is at the address.
    bool needsProbe() const { return !m_verified || m_candidate; }
    // The service whose health endpoint such a probe must call.
    const std::string& probedService() const { return m_candidate ? m_candidate->service : m_current.service; }
    bool isUnreachable() const { return m_unreachable; }
    bool hasLeft() const;
    bool isAvailable(TimePoint now) const;
    // The leave of the current run; empty if it has not left.
    EndpointLeave currentLeave() const;
    const EndpointLeave& formerLeave() const { return m_formerLeave; }
    const EndpointAnnouncement& current() const { return m_current; }
    const std::string& service() const { return m_announced && m_verified ? m_current.service : m_service; }
    TimePoint lastContact() const { return m_lastContact; }

private:
    bool isCurrentRun(const EndpointAnnouncement&) const;
    bool isInUse(TimePoint now) const;
    const EndpointLeave* findLeave(const EndpointAnnouncement&) const;
    void addLeave(const EndpointLeave&);
    void adopt(const EndpointAnnouncement&, bool verified, TimePoint now);

    const MeshSettings& m_settings;
    std::string m_service; // Configured
    EndpointAnnouncement m_current;
    std::optional<EndpointAnnouncement> m_candidate; // Announced beside the current run and not confirmed yet
    TimePoint m_candidateAt {};
    std::vector<EndpointLeave> m_leaves; // Announced to this process; the latest ones, newest last
    EndpointLeave m_formerLeave;         // Announced before this process started
    TimePoint m_lastContact {};
    bool m_announced { false };
    bool m_verified { false };
    bool m_formerLeaveKnown { false };
    bool m_unreachable { false };
};

} // namespace shallot
