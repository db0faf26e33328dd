// Guards against work on calls that a partition or a stall held up, and against refusing those of a process whose clock differs.

#include "mesh/TransitTime.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

const TimePoint start(1000s);

TEST(TransitTime, AMessageThatWasHeldUpIsRecognisedWhateverTheClocksShow)
{
    for (const Duration offset : { Duration(0s), Duration(900s), Duration(-5000s) }) {
        TransitTime transit;
        for (int i = 0; i < 10; ++i)
            EXPECT_LE(transit.record(start + i * 100ms + offset, start + i * 100ms + 2ms), 0ms);
        EXPECT_EQ(transit.record(start + 1s + offset, start + 4s + 2ms), 3s);
        EXPECT_EQ(transit.record(start + 4s + offset, start + 4s + 3ms), 1ms);
    }
}

TEST(TransitTime, TheFirstMessageStandsForAnUndisturbedOneOnlyUntilAFasterOneArrives)
{
    TransitTime transit;
    EXPECT_EQ(transit.record(start, start + 700ms), 0ms);
    EXPECT_EQ(transit.record(start + 1s, start + 1s + 1ms), 0ms);
    EXPECT_EQ(transit.record(start + 2s, start + 2s + 700ms), 699ms);
}

// A clock that runs 500 ppm faster would make up 1.8 s in an hour.
RC_GTEST_PROP(TransitTimeFuzz, ClocksThatDriftApartHoldUpNoMessage, ())
{
    const auto drift = *rc::gen::inRange(-500, 501) * 1e-6;
    const auto interval = std::chrono::milliseconds(*rc::gen::inRange(1, 20'000));
    TransitTime transit;
    for (auto now = start; now < start + 1h; now += interval)
        RC_ASSERT(transit.record(TimePoint(fromSeconds(toSeconds(now - start) * (1 + drift))), now) < 100ms);
}

} // namespace
} // namespace shallot
