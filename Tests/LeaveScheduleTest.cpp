// A backend server stays in use beside its leaving daemon, for runs that end well before the daemon does.

#include "mesh/LeaveSchedule.h"
#include "SidecarHarness.h"
#include "TestPorts.h"
#include "mesh/RunTimes.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint signalled { 1000s };
constexpr TimePoint callersGoneAt = signalled + 2600ms;
constexpr TimePoint endBy = signalled + 5300ms;

TEST(LeaveSchedule, RunsEndWhenTheCallersAreGone)
{
    EXPECT_EQ(lastRunStart({ callersGoneAt, endBy, 400ms, false }, signalled), signalled + 2200ms);
}

TEST(LeaveSchedule, TheLastOneOfAZoneStaysInUseForLonger)
{
    EXPECT_EQ(lastRunStart({ callersGoneAt, endBy, 400ms, true }, signalled), signalled + 3500ms);
}

TEST(LeaveSchedule, RunsThatMayNotEndBeforeTheProcessDoNotBegin)
{
    EXPECT_EQ(lastRunStart({ callersGoneAt, endBy, 2700ms, true }, signalled), signalled);
    EXPECT_EQ(lastRunStart({ callersGoneAt, endBy, 3s, false }, signalled), signalled);
    EXPECT_EQ(lastRunStart({ callersGoneAt, signalled + 2s, 400ms, false }, signalled), signalled + 200ms);
}

TEST(RunTimes, KnowsTheTimeOfMostOfTheLatestRuns)
{
    RunTimes times;
    EXPECT_FALSE(times.quantile(0.95));
    times.record(30ms);
    EXPECT_EQ(times.quantile(0.95), 30ms);
    for (int i = 0; i < 128; ++i)
        times.record(i % 16 ? 10ms : 900ms); // One in sixteen
    EXPECT_EQ(times.quantile(0.9), 10ms);
    EXPECT_EQ(times.quantile(0.95), 900ms);
    EXPECT_EQ(times.quantile(0), 10ms);
    EXPECT_EQ(times.count(), 129U);
}

TEST(LeavingExecutor, NothingBeginsOnceEverythingHasEnded)
{
    const SocketAddress backendServer { "127.0.0.1", nextBasePort() };
    const MeshSettings settings;
    CrashSuspects suspects(settings);
    EndpointExecutor executor(settings, backendServer, "alpha", suspects);
    const auto now = MonotonicClock::now();
    executor.setFormerLeave({});
    executor.recordAnnouncement({ "a", 1000, 1, "alpha", backendServer }, now);
    executor.recordAnnouncement({ "b", 2000, 1, "alpha", backendServer }, now);
    executor.recordAnnouncement({ "b", 2000, 2, "alpha", backendServer }, now);
    executor.startLeaving(now, now + 1min, now + 1min);
    ASSERT_TRUE(executor.isAvailable(now));
    executor.endAll(now);
    MeshCall call;
    call.service = "alpha";
    call.context.remaining = 1h;
    call.request.method = "POST";
    auto refusal = ErrorKind::None;
    executor.submit(std::move(call), now, [&](const MeshOutcome& outcome) { refusal = outcome.response.error().kind; });
    EXPECT_EQ(refusal, ErrorKind::Draining);
    EXPECT_EQ(executor.inProgress(), 0U);
}

class LeavingDaemon : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(mesh.waitUntilServing());
        for (int i = 0; i < 20; ++i)
            ASSERT_EQ(mesh.fetch(1, "/read/before").status(), 200);
        mesh.daemon(0).setLeaveCompletedHandler([this] { hasLeft = true; });
        mesh.daemon(0).leave(MonotonicClock::now());
    }

    SidecarHarness mesh { { "zone-a/alpha", "zone-a/beta" } };
    bool hasLeft { false };
};

TEST_F(LeavingDaemon, KeepsItsBackendServerInUseUntilTheCallersAreGone)
{
    mesh.runFor(1500ms);
    EXPECT_EQ(mesh.fetch(1, "/read/while-leaving").status(), 200);
    mesh.runFor(1200ms);
    EXPECT_EQ(mesh.fetch(1, "/read/late").status(), 503);
    EXPECT_EQ(mesh.executionCount("/read/late"), 0U);
    EXPECT_TRUE(mesh.runUntil([this] { return hasLeft; }));
}

} // namespace
} // namespace shallot
