// The limit of RootLoadShedder around one short overload; MeshDecisionsTest.cpp simulates the call graphs.

#include "mesh/RootLoadShedder.h"
#include "mesh/MeshCall.h"
#include "mesh/MeshSettings.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

constexpr uint8_t priority = priorityOfRank(2);
constexpr size_t running = 40; // When the overload begins

struct Overload {
    Overload()
    {
        for (size_t i = 0; i < running; ++i)
            shedder.recordStart("route", priority);
    }
    void report(Duration wait, Duration every, size_t count)
    {
        for (size_t i = 0; i < count; ++i, now += every)
            shedder.recordPressure("route", priority, wait, now);
    }

    const MeshSettings settings;
    RootLoadShedder shedder { settings };
    TimePoint now { 1000s };
};

// Guards against a limit of a few requests after a burst that most of the admitted requests have outlasted.
TEST(RootLoadShedder, CutsItsLimitOnceUntilTheRequestsAboveItHaveEnded)
{
    Overload overload;
    overload.report(100ms, 50ms, 20);
    EXPECT_FALSE(overload.shedder.admits("route", priority, false, overload.now));
    for (size_t i = 0; i < running * 3 / 4; ++i)
        overload.shedder.recordEnd("route", priority);
    overload.now += overload.settings.pressureWindow;
    overload.report(1ms, 50ms, 1);
    size_t admitted = 0;
    while (admitted < running && overload.shedder.admits("route", priority, false, overload.now)) {
        overload.shedder.recordStart("route", priority);
        ++admitted;
    }
    EXPECT_GE(admitted + running / 4, running / 2);
    EXPECT_LT(admitted + running / 4, running);
}

// Guards against cuts for a queue that has been empty for a second, as seen by the few requests that are left.
TEST(RootLoadShedder, ForgetsTheWaitsOfAnEndedOverloadEvenIfFewRequestsReport)
{
    Overload overload;
    overload.report(200ms, 100ms, 10);
    overload.report(1ms, 100ms, 5);
    EXPECT_LT(overload.shedder.pressure("route", priority, overload.now), overload.settings.pressureTarget);
}

} // namespace
} // namespace shallot
