#include "sidecar/FollowSettings.h"

#include "mesh/MeshSettings.h"

namespace shallot {

namespace {

using namespace std::chrono_literals;

constexpr auto memberHold = 20s;                  // Member updates also arrive over links, so a read that hangs costs little
constexpr auto readTimeout = 700ms;               // Added to the hold; the store responds within milliseconds
constexpr auto memberReadDelay = 400ms;           // A start of the whole fleet writes one record per member
constexpr auto readerElectionDelay = 600ms;       // Two ticks, in which another member may turn out to be the zone's store reader
constexpr auto memberStartupDelay = 800ms;        // Until all members of a fleet that starts at once have written their records
constexpr auto configurationRetryMaximum = 800ms; // Keys are accepted again within two seconds of the store's return
constexpr auto memberRetryMaximum = 5s;           // Known members stay in use, and new ones send their state over links

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
