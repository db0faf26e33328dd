#include "sidecar/FollowSettings.h"

#include "mesh/MeshSettings.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto memberHold = 20s;            // News of members also comes over links, so a silent read costs little
constexpr auto readTimeout = 700ms;         // Beyond the hold; the store answers within milliseconds
constexpr auto memberReadDelay = 400ms;     // A start of the whole fleet writes one record a member
constexpr auto readerElectionDelay = 600ms; // After a start: two ticks, in which another member may turn out to be the reader
constexpr auto memberStartupDelay = 800ms;  // After a start: all members of a fleet that starts have written their records
constexpr auto configurationRetryMaximum = 800ms; // Keys are honoured again within two seconds of the store's return
constexpr auto memberRetryMaximum = 5s;           // Known members stay, and new ones make themselves known over links

} // namespace

FollowSettings followConfiguration(const MeshSettings& settings)
{
    FollowSettings follow { platform::StoreTopic::Configuration };
    follow.hold = settings.readHold;
    follow.timeout = readTimeout;
    follow.delayAfterSnapshot = readerElectionDelay;
    follow.maximumRetryDelay = configurationRetryMaximum;
    follow.readsAgainAfterRecords = true;
    return follow;
}

FollowSettings followMembers()
{
    FollowSettings follow { platform::StoreTopic::Members };
    follow.hold = memberHold;
    follow.timeout = readTimeout;
    follow.readDelay = memberReadDelay;
    follow.delayAfterSnapshot = memberStartupDelay;
    follow.maximumRetryDelay = memberRetryMaximum;
    return follow;
}

} // namespace shallot
