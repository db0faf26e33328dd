// Slow start: a cold backend server that gets more requests than it takes crashes, comes back cold and crashes again.

#include "mesh/EndpointQueue.h"
#include "mesh/MeshSettings.h"
#include "mesh/WarmUp.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shallot {
namespace {

constexpr ColdStart coldStart { 7.5, 3s };
constexpr double capacity = 250;
constexpr size_t allowedPerSecond = 19; // 7.5 x 1.5 + 8, as the platform counts

const TimePoint start(1000s);

WarmUp makeWarmUp(const MeshSettings& settings)
{
    WarmUp warmUp(settings);
    warmUp.setColdStart(coldStart);
    return warmUp;
}

TEST(WarmUp, AColdBackendServerGetsItsRateAndThenARamp)
{
    const MeshSettings settings;
    auto warmUp = makeWarmUp(settings);
    EXPECT_EQ(warmUp.rateLimit(capacity, start), std::nullopt);
    warmUp.recordAnnouncement(3s, start);
    EXPECT_EQ(warmUp.rateLimit(capacity, start + 2900ms), 7.5);
    double last = 7.5;
    for (auto now = start + 3s; warmUp.rateLimit(capacity, now); now += settings.warmUpStep) {
        const auto rate = *warmUp.rateLimit(capacity, now);
        EXPECT_EQ(rate, 2 * last);
        EXPECT_EQ(warmUp.nextChangeIn(capacity, now), settings.warmUpStep);
        last = rate;
    }
    EXPECT_EQ(last, 240);
}

// An announcement that was sent before the backend server became cold may arrive after the probe that told so.
TEST(WarmUp, ALateAnnouncementDoesNotEndAColdState)
{
    const MeshSettings settings;
    auto warmUp = makeWarmUp(settings);
    warmUp.recordProbe(2s, start, start);
    warmUp.recordAnnouncement(0s, start + 10ms);
    EXPECT_EQ(warmUp.rateLimit(capacity, start + 1s), 7.5);
    warmUp.recordProbe(0s, start + 1s, start + 1s);
    EXPECT_EQ(warmUp.rateLimit(capacity, start + 1s), 15);
}

TEST(WarmUp, AnUnknownStateLastsUntilAProbeThatWasSentLater)
{
    const MeshSettings settings;
    auto warmUp = makeWarmUp(settings);
    warmUp.recordUnknown(start);
    warmUp.recordProbe(0s, start - 1ms, start + 1ms);
    warmUp.recordAnnouncement(0s, start + 1ms);
    EXPECT_EQ(warmUp.rateLimit(capacity, start + 1min), 7.5);
    warmUp.recordProbe(0s, start + 2ms, start + 3ms);
    EXPECT_EQ(warmUp.rateLimit(capacity, start + 3ms), std::nullopt) << "it has not been cold, so no ramp is needed";
}

TEST(WarmUp, TimesBeyondThoseOfTheServiceAreLimited)
{
    const MeshSettings settings;
    auto warmUp = makeWarmUp(settings);
    Duration absurd = 24h;
    EXPECT_FALSE(warmUp.limit(absurd));
    EXPECT_EQ(absurd, 3s);
    Duration negative = -1s;
    EXPECT_FALSE(warmUp.limit(negative));
    EXPECT_EQ(negative, 0s);
    warmUp.recordAnnouncement(24h, start);
    EXPECT_EQ(warmUp.coldFor(start), 3s);
}

TEST(WarmUp, ServicesWithoutAColdRateAreNotLimited)
{
    const MeshSettings settings;
    WarmUp warmUp(settings);
    warmUp.recordAnnouncement(3s, start);
    warmUp.recordUnknown(start);
    EXPECT_EQ(warmUp.rateLimit(capacity, start), std::nullopt);
    EXPECT_EQ(warmUp.nextChangeIn(capacity, start), std::nullopt);
}

// Hundreds of senders offer far more than a cold backend server takes, while it becomes cold at any time, is silent, restarts and
// announces itself late. The oracle counts what is sent in each second in which the server is cold and its daemon could know.
RC_GTEST_PROP(WarmUpFuzz, AColdBackendServerNeverGetsMoreThanItTakes, ())
{
    const MeshSettings settings;
    auto warmUp = makeWarmUp(settings);
    EndpointQueue queue(settings);
    queue.setSlots(50);
    TimePoint now = start;
    TimePoint coldUntil {};
    std::vector<TimePoint> sent;
    const auto offer = [&] {
        queue.setRateLimit(warmUp.rateLimit(capacity, now), now);
        while (queue.decide(0, 0s, now) == QueueDecision::Run) {
            queue.recordStart(now);
            queue.recordEnd();
            if (now >= coldUntil) {
                if (!warmUp.rateLimit(capacity, now))
                    break;
                continue;
            }
            sent.push_back(now);
            const auto recent = std::count_if(sent.begin(), sent.end(), [&](TimePoint at) { return now - at < 1s; });
            RC_ASSERT(static_cast<size_t>(recent) <= allowedPerSecond);
        }
    };
    for (const auto action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
        switch (action) {
        case 0: // It restarts; its connections break, which is followed by a probe before anything else is sent
            coldUntil = now + 3s;
            warmUp.recordProbe(3s, now, now);
            break;
        case 1: // An announcement from before
            warmUp.recordAnnouncement(0s, now);
            break;
        case 2: // Its zone was evacuated; it has become cold meanwhile
            warmUp.recordUnknown(now);
            coldUntil = now + 3s;
            break;
        case 3: // A probe that is answered at once
            warmUp.recordProbe(std::max<Duration>(coldUntil - now, 0s), now, now);
            break;
        case 4: // A probe whose answer is late
            warmUp.recordProbe(std::max<Duration>(coldUntil - now, 0s), now - 10ms, now);
            break;
        default:
            break;
        }
        for (int i = 0; i < 40; ++i) {
            now += 25ms;
            offer();
        }
    }
}

} // namespace
} // namespace shallot
