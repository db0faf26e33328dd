#pragma once

#include "net/Timer.h"
#include "platform/StoreClient.h"
#include "sidecar/FollowSettings.h"

#include <functional>
#include <optional>

namespace shallot {

// Records read by one request to the store.
struct FollowerUpdate {
    const std::vector<platform::KeyedRecord>& records; // Oldest first; without records that were known before
    uint64_t from { 0 };
    uint64_t next { 0 };       // Offset after the last record
    bool isSnapshot { false }; // The newest record of each key, in place of all records before `next`
    uint64_t era { 0 };        // In which the offsets count, see platform::StoreRead::era
};

// Follows one topic: reads the snapshot first, then new records with held reads. Starts again with a snapshot in each later era.
class StoreFollower {
public:
    // All records written before `seenUntil` have been read; empty: the store holds more, which are read at once.
    using Callback = std::function<void(const FollowerUpdate&, std::optional<TimePoint> seenUntil)>;

    StoreFollower(platform::StoreClient&, FollowSettings, Callback);
    void start() { readSnapshot(); }
    // While paused, the follower sends no reads of its own except to complete one; it resumes at the same offset.
    void setPaused(bool);
    // Sends the next read now unless one is in progress, also while paused; a read sent while paused is not held.
    void readOnce();
    // Offset of the next read; 0 before the first response.
    uint64_t offset() const { return m_offset.value_or(0); }
    uint64_t era() const { return m_era; }
    // Skips records before that offset of that era, which were received by other means; an earlier era has no effect.
    void advanceTo(uint64_t offset, uint64_t era);
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
    std::optional<uint64_t> m_offset; // Offset of the next read; empty: read the snapshot first
    uint64_t m_era { 0 };             // In which the offset counts
    unsigned m_failures { 0 };        // Consecutive
    bool m_reachable { true };
    bool m_hadRecords { false }; // The last read returned records
    bool m_catchingUp { false }; // The last read has to be completed by another one
    bool m_paused { false };
    bool m_reading { false };
};

} // namespace shallot
