// Stateful fuzzing of the fleet-wide limits: daemons in zones, message loss and delay, network partitions, log outages, lost
// acknowledgements, pauses, crashes, replacements and plan edits. The oracle is one token bucket of the plan's rate and burst
// that receives every admission in the order of simulated time.

#include "FleetModel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shallot {
namespace {

struct Step {
    FleetModel::Fault fault;
    size_t target { 0 };
    int milliseconds { 0 };
};

rc::Gen<Step> genStep()
{
    return rc::gen::apply(
        [](int fault, int target, int milliseconds) {
            return Step { static_cast<FleetModel::Fault>(fault), static_cast<size_t>(target), milliseconds };
        },
        rc::gen::inRange(0, static_cast<int>(FleetModel::Fault::Count)), rc::gen::inRange(0, 100), rc::gen::inRange(50, 4000));
}

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << FleetModel::nameOf(step.fault) << "(" << step.target << ", " << step.milliseconds << " ms)";
}

void runSteps(FleetModel& fleet, const std::vector<Step>& steps)
{
    fleet.run(std::chrono::milliseconds(3000));
    for (const auto& step : steps) {
        fleet.inject(step.fault, step.target);
        fleet.run(std::chrono::milliseconds(step.milliseconds));
    }
    fleet.run(std::chrono::milliseconds(3000));
}

RC_GTEST_PROP(LimitFuzz, NoOrganisationGetsMoreThanItsPlan, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
    FleetModel fleet(*rc::gen::inRange<uint32_t>(1, 1'000'000));
    runSteps(fleet, steps);
    RC_ASSERT(fleet.overruns() == 0U);
}

// Shows that the oracle detects a disabled mechanism.
TEST(LimitFuzz, DetectsAnOwnerThatLendsWithoutALease)
{
    FleetModel fleet(11);
    fleet.run(std::chrono::milliseconds(6000));
    for (size_t zone = 0; zone < 3; ++zone) {
        const auto owner = fleet.ownerInZone(zone);
        ASSERT_LT(owner, FleetModel::daemonCount);
        fleet.settingsOf(owner).ownerLeaseDuration = std::chrono::hours(10);
        fleet.inject(FleetModel::Fault::IsolateInstance, owner);
    }
    fleet.run(std::chrono::milliseconds(40'000));
    EXPECT_GT(fleet.overruns(), 0U);
}

TEST(LimitModel, AnUndisturbedFleetAdmitsWhatThePlanAllows)
{
    FleetModel fleet(3);
    fleet.run(std::chrono::milliseconds(6000));
    fleet.clearCounts();
    fleet.run(std::chrono::milliseconds(10'000));
    EXPECT_EQ(fleet.overruns(), 0U);
    // Demand is above the rate, so all requests that the plan allows can be admitted.
    EXPECT_GE(static_cast<double>(fleet.admitted()), 0.9 * fleet.allowed());
}

TEST(LimitModel, AnIsolatedZoneKeepsAdmitting)
{
    FleetModel fleet(5);
    fleet.run(std::chrono::milliseconds(6000));
    fleet.inject(FleetModel::Fault::LogDown, 0);
    fleet.inject(FleetModel::Fault::IsolateZone, 0);
    fleet.run(std::chrono::milliseconds(20'000));
    fleet.clearCounts();
    fleet.run(std::chrono::milliseconds(10'000));
    EXPECT_GT(fleet.admittedInZone(0), 0U);
    EXPECT_EQ(fleet.overruns(), 0U);
}

TEST(LimitModel, AnOwnershipTransferLendsNothingTwice)
{
    FleetModel fleet(13);
    fleet.run(std::chrono::milliseconds(6000));
    for (size_t zone = 0; zone < 3; ++zone)
        fleet.inject(FleetModel::Fault::Leave, fleet.ownerInZone(zone));
    fleet.run(std::chrono::milliseconds(10'000));
    EXPECT_EQ(fleet.overruns(), 0U);
}

TEST(LimitModel, TheShareOfADeadOwnerIsLentAgain)
{
    FleetModel fleet(9);
    fleet.run(std::chrono::milliseconds(6000));
    fleet.inject(FleetModel::Fault::Crash, 0);
    fleet.run(std::chrono::milliseconds(25'000));
    EXPECT_TRUE(fleet.allPartitionsOwnedByLiveMembers());
    EXPECT_EQ(fleet.overruns(), 0U);
}

} // namespace
} // namespace shallot
