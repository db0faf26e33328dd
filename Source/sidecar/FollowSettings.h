#pragma once

#include "core/Time.h"
#include "platform/StoreClient.h"

namespace shallot {

struct MeshSettings;

// How a StoreFollower reads one topic of the store.
struct FollowSettings {
    platform::StoreTopic topic { platform::StoreTopic::Configuration };
    Duration hold {};      // How long a read waits for new records; also the age of the freshness that a held read confirms
    Duration timeout {};   // Added to the hold; a read without a response for longer has lost its connection
    Duration readDelay {}; // Between two reads, so that a burst of records costs few requests
    Duration delayAfterSnapshot {};                         // Before the first read after a snapshot
    Duration maximumRetryDelay { std::chrono::seconds(1) }; // After failed reads
    bool readsAgainAfterRecords { false }; // Without a hold, so that freshness is not as old as the read that returned records
};

FollowSettings followConfiguration(const MeshSettings&);
FollowSettings followMembers();

} // namespace shallot
