#pragma once

#include "mesh/MeshCall.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace shallot {

struct MeshSettings;

// Identity of a call among all that other daemons send to this one.
struct ServedCallKey {
    std::string sender;  // Member
    uint64_t boot { 0 }; // Process of that member
    uint64_t id { 0 };   // Unique within that process, rising

    auto operator<=>(const ServedCallKey&) const = default; // NOLINT: clang-tidy takes the 0 of the comparison for a pointer
};

// What the sender of a call can be told after their link has ended; values of the frame CallState.
enum class ServedCallState : uint8_t {
    Unknown = 0,    // It may have run, and its outcome is not kept
    NotBegun = 1,   // It has not been begun and will not be
    InProgress = 2, // It waits or runs; its answer is sent on the link of the query
    Ended = 3,      // Its outcome is kept and sent again
};

// The calls of other daemons that this daemon has begun, over the ends of their links: which may begin, what a sender is told
// that asks on a new link, and which are abandoned since nobody asked.
class ServedCalls {
public:
    explicit ServedCalls(const MeshSettings& settings)
        : m_settings(settings)
    {
    }

    // Whether an arriving call may be begun; it counts as begun then. Its sender asks for it until the deadline.
    bool begin(const ServedCallKey&, TimePoint deadline, TimePoint now);
    // Without an outcome it was cancelled.
    void end(const ServedCallKey&, std::optional<MeshOutcome>, TimePoint now);
    // The link of the call has ended.
    void detach(const ServedCallKey&, TimePoint now);
    // The sender asks on another link. A call that has not been begun may not be from now on.
    ServedCallState query(const ServedCallKey&, TimePoint now);
    // The kept outcome of a call could not be sent, so its sender will ask for it.
    void expectQuery(const ServedCallKey&);
    // A link of the sender's process has ended: outcomes that were sent shortly before may have been lost with it.
    void expectQueries(std::string_view sender, uint64_t boot, TimePoint now);
    // Kept outcomes that are still to be asked for.
    size_t expectedQueries() const { return m_expectedQueries.size(); }
    // The kept outcome of a call that has ended; null without one.
    const MeshOutcome* outcomeOf(const ServedCallKey&) const;
    // A call that has arrived is not begun: its sender may send it elsewhere.
    void refuse(const ServedCallKey&);
    // Open calls that no sender asked for in time, to be ended or refused, unless they have to go on.
    std::vector<ServedCallKey> takeAbandoned(TimePoint now);
    // When takeAbandoned() is due; empty if no call is without a link.
    std::optional<TimePoint> nextAbandonment() const;
    // Forgets what is too old to be asked for.
    void expire(TimePoint now);

    size_t recordCount() const { return m_records.size(); }
    size_t keptBytes() const { return m_keptBytes; }

private:
    enum class State : uint8_t { Open, Ended, Refused };

    struct Record {
        State state { State::Open };
        TimePoint deadline {};
        TimePoint endedAt {};
        std::optional<MeshOutcome> outcome;
        size_t bytes { 0 };    // Of the outcome
        uint64_t keptAs { 0 }; // Its key in m_kept
    };

    struct ForgottenCalls {
        uint64_t latestID { 0 }; // Up to this id a call without a record may have been begun
        TimePoint changedAt {};
    };

    using Process = std::pair<std::string, uint64_t>;

    bool isForgotten(const ServedCallKey&) const;
    void close(const ServedCallKey&, Record&, State, TimePoint knownUntil);
    void forgetNext(TimePoint now);
    const ServedCallKey& outcomeToDrop() const;
    void dropOutcome(Record&);

    const MeshSettings& m_settings;
    std::map<ServedCallKey, Record> m_records;
    std::set<std::pair<TimePoint, ServedCallKey>> m_closed; // Ended or refused, by when they are forgotten
    std::map<uint64_t, ServedCallKey> m_kept;               // With an outcome, the oldest first
    std::map<ServedCallKey, TimePoint> m_detached;          // Open calls without a link, since when
    std::set<ServedCallKey> m_expectedQueries;              // Of calls with an outcome
    std::map<Process, ForgottenCalls> m_forgotten;
    TimePoint m_processesCheckedAt {};
    size_t m_keptBytes { 0 };
    uint64_t m_lastKept { 0 };
};

} // namespace shallot
