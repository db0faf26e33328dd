#pragma once

#include "core/Time.h"
#include "platform/StoreClient.h"

namespace shallot {

struct MeshSettings;

// How one topic of the store is followed.
struct FollowSettings {
    platform::StoreTopic topic { platform::StoreTopic::Configuration };
    Duration hold {};               // How long a read waits for news; also the age of what a held read proves
    Duration timeout {};            // Beyond the hold: a read that says nothing for longer has lost its connection
    Duration readDelay {};          // Between two reads, so that a rush of records costs few calls
    Duration delayAfterSnapshot {}; // Once the newest records are known
    Duration maximumRetryDelay { std::chrono::seconds(1) }; // After failed reads
    bool readsAgainAfterRecords { false }; // Without a hold, so that what is proved is not as old as the read that brought them
};

FollowSettings followConfiguration(const MeshSettings&);
FollowSettings followMembers();

} // namespace shallot
