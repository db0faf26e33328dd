// The queue in front of a backend server that names a rate limit, with time passed in.

#include "mesh/EndpointQueue.h"
#include "mesh/MeshSettings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace shallot {
namespace {

constexpr auto step = 5ms;
constexpr auto window = 4s;

// The oracle: the requests of any 4 s stay within one and a half times what the limit allows, and five. The limit is named anew
// in each interval, changes by a twentieth, and ends now and then with a single response that names none.
RC_GTEST_PROP(EndpointQueueRate, NoWindowHoldsMoreThanTheLimitAllows, ())
{
    const MeshSettings settings;
    EndpointQueue queue(settings);
    queue.setSlots(*rc::gen::inRange(1U, 300U));
    const double limit = *rc::gen::inRange(1, 400) / 4.0;
    const auto runTime = std::chrono::milliseconds(*rc::gen::inRange(1, 200));
    const auto arrivalsPerStep = *rc::gen::inRange(1, 6);
    std::deque<QueueItem> items;
    std::deque<TimePoint> starts;
    std::deque<TimePoint> ends;
    TimePoint now { 10s };
    const auto start = [&] {
        queue.recordStart(now);
        starts.push_back(now);
        ends.push_back(now + runTime);
    };
    queue.setRateLimit(limit, now);
    for (const auto end = now + 12s; now < end; now += step) {
        for (; !ends.empty() && ends.front() <= now; ends.pop_front())
            queue.recordEnd();
        queue.setRateLimit(limit * (1 + *rc::gen::inRange(-1, 2) / 20.0), now);
        for (int i = 0; i < arrivalsPerStep; ++i) {
            const auto decision = queue.decide(2, 1s, now);
            if (decision == QueueDecision::Run) {
                start();
            } else if (decision == QueueDecision::Wait) {
                items.emplace_back().priority = 2;
                items.back().deadline = now + 1s;
                queue.push(items.back());
            }
        }
        while (queue.popIfFree(now))
            start();
        const auto inWindow = starts.end() - std::lower_bound(starts.begin(), starts.end(), now - window);
        RC_ASSERT(inWindow <= 1.5 * limit * toSeconds(window) + 5);
    }
    // The offered rate is used: slots or load permitting, at least four fifths of the limit.
    const double possible = std::min({ limit, queue.limit() / toSeconds(runTime), arrivalsPerStep / toSeconds(step) });
    RC_ASSERT(static_cast<double>(starts.size()) >= 0.8 * possible * 12 - 2);
    for (auto& item : items)
        queue.remove(item);
}

TEST(EndpointQueueRate, ALimitOfZeroIsNotTheSameAsNone)
{
    const MeshSettings settings;
    EndpointQueue queue(settings);
    queue.setSlots(100);
    const TimePoint now { 10s };
    EXPECT_EQ(queue.decide(2, 100ms, now), QueueDecision::Run);
    queue.setRateLimit(0, now);
    EXPECT_EQ(queue.decide(2, 100ms, now), QueueDecision::Refuse);
    // One request now and then, to learn whether it takes more again.
    EXPECT_EQ(queue.decide(2, 100ms, now + 5s), QueueDecision::Run);
    queue.setRateLimit({}, now);
    EXPECT_EQ(queue.decide(2, 100ms, now), QueueDecision::Run);
}

TEST(EndpointQueueRate, ALimitedBackendServerReportsItsLimitAndNoOverloadBetweenTwoRequests)
{
    const MeshSettings settings;
    EndpointQueue queue(settings);
    queue.setSlots(100);
    const TimePoint now { 10s };
    queue.recordServiceTime(100ms, now);
    queue.setRateLimit(30, now);
    EXPECT_EQ(queue.report(true, now).rateLimit, 30);
    EXPECT_GT(queue.expectedWait(2, now), 0ms);
    EXPECT_EQ(queue.pressure(2, now), 0ms);
}

} // namespace
} // namespace shallot
