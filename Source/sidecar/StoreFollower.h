#pragma once

#include "net/Timer.h"
#include "platform/StoreClient.h"
#include "sidecar/FollowSettings.h"

#include <functional>
#include <optional>

namespace shallot {

// What one answer of the store brought.
struct FollowerUpdate {
    const std::vector<platform::KeyedRecord>& records; // Oldest first; none that is known already
    uint64_t from { 0 };
    uint64_t next { 0 };       // Offset behind the last record
    bool isSnapshot { false }; // The newest record of each key, in place of all records up to `next`
};

// Keeps up with one topic: the newest record of each key first, then held reads from there on.
class StoreFollower {
public:
    // Everything written before that time was seen.
    using Callback = std::function<void(const FollowerUpdate&, TimePoint seenUntil)>;

    StoreFollower(platform::StoreClient&, FollowSettings, Callback);
    void start() { readSnapshot(); }
    // A follower that is paused asks nothing; it goes on where it was.
    void setPaused(bool);
    // One read without a wait, also while paused.
    void readOnce();
    // Where the next read begins; 0 before the first answer.
    uint64_t offset() const { return m_offset.value_or(0); }
    // Everything before that offset was learned elsewhere.
    void advanceTo(uint64_t offset);
    bool isReachable() const { return m_reachable; }

private:
    void readSnapshot();
    void readNext();
    void onRead(TimePoint sentAt, Duration hold, bool wasSnapshot, Result<platform::StoreRead>);
    void scheduleNext(Duration);

    platform::StoreClient& m_client;
    FollowSettings m_settings;
    Callback m_onRead;
    Timer m_timer;
    std::optional<uint64_t> m_offset; // Where the next read begins; nothing: read the newest records first
    unsigned m_failures { 0 };        // In a row
    bool m_reachable { true };
    bool m_hadRecords { false }; // The last read brought some
    bool m_paused { false };
    bool m_reading { false };
};

} // namespace shallot
