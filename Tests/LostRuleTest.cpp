#include "soak/LostRule.h"

#include <gtest/gtest.h>

namespace shallot::lost {
namespace {

const TimePoint start { 1000s };
constexpr Duration shutdownTime = 6s; // Its last sixth begins after 5 s

// Times are after `start`, the moment of the SIGTERM, SIGHUP or configuration.
EndedRequest cut(Duration sent, Duration ended)
{
    EndedRequest request;
    request.sent = start + sent;
    request.ended = start + ended;
    return request;
}

EndedRequest cutAtWork(Duration sent, Duration ended)
{
    auto request = cut(sent, ended);
    request.wasPassedOn = request.isAtWork = true;
    request.atWorkUntil = request.ended;
    return request;
}

EndedRequest answered(EndedRequest request, AnswerOf answer, uint16_t status)
{
    request.answer = answer;
    request.status = status;
    return request;
}

const PlannedWork stopped { { { start, shutdownTime } }, {} };
const PlannedWork reloaded { {}, { start } };

Judgement judgeIn(const PlannedWork& work, const EndedRequest& request)
{
    return judge(request, work, {});
}

void expectLost(const PlannedWork& work, const EndedRequest& request, Work counted)
{
    const auto judgement = judgeIn(work, request);
    EXPECT_EQ(judgement.verdict, Verdict::Lost);
    EXPECT_EQ(judgement.work, counted);
}

void expectExcused(const PlannedWork& work, const EndedRequest& request, Reason reason)
{
    const auto judgement = judgeIn(work, request);
    EXPECT_EQ(judgement.verdict, Verdict::Excused);
    EXPECT_EQ(judgement.reason, reason);
}

TEST(LostRule, AnAnswerOfTheBackendServerIsAnAnswerWhateverItsStatus)
{
    for (const uint16_t status : { 200, 500, 504 })
        EXPECT_EQ(judgeIn(stopped, answered(cut(1s, 2s), AnswerOf::BackendServer, status)).verdict, Verdict::Answered);
}

TEST(LostRule, AnAnswerThatIsNotWholeIsNone)
{
    auto request = answered(cutAtWork(1s, 2s), AnswerOf::BackendServer, 200);
    request.isWhole = false;
    expectLost(stopped, request, Work::Stop);
    request = answered(cut(1s, 2s), AnswerOf::Daemon, 503);
    request.isWhole = false;
    expectLost(stopped, request, Work::Stop);
}

TEST(LostRule, ARefusalIsOneOnlyIfTheRequestNeverRan)
{
    for (const uint16_t status : { 503, 429, 408, 421 }) {
        EXPECT_EQ(judgeIn(stopped, answered(cut(1s, 2s), AnswerOf::Daemon, status)).verdict, Verdict::Refused);
        expectLost(stopped, answered(cutAtWork(1s, 2s), AnswerOf::Daemon, status), Work::Stop);
    }
    EXPECT_EQ(judgeIn(stopped, answered(cut(1s, 2s), AnswerOf::Daemon, 502)).verdict, Verdict::Failed);
}

TEST(LostRule, ARequestThatCrossesACloseHasBeenReadAfterTheSlack)
{
    EXPECT_EQ(judgeIn(stopped, cut(1s, 1s + readSlack)).verdict, Verdict::Crossed);
    expectLost(stopped, cut(1s, 1s + readSlack + 1ms), Work::Stop);
    expectLost(stopped, cutAtWork(1s, 1s + 1ms), Work::Stop); // Passed on
}

TEST(LostRule, ARequestThatWasNotSentWholeWasNotRead)
{
    EndedRequest request;
    request.ended = start + 2s;
    EXPECT_EQ(judgeIn(stopped, request).verdict, Verdict::Unsent);
    request.wasPassedOn = true;
    expectLost(stopped, request, Work::Stop);
}

TEST(LostRule, RunsInTheLastSixthAreExcusedIfTheyWereSentEarly)
{
    expectExcused(stopped, cutAtWork(3s, 5s), Reason::LastSixth);
    expectLost(stopped, cutAtWork(3s + 1ms, 5s), Work::Stop);
    expectLost(stopped, cutAtWork(3s, 5s - 1ms), Work::Stop);
    expectExcused(stopped, answered(cutAtWork(-1s, 5500ms), AnswerOf::Daemon, 502), Reason::LastSixth);
}

TEST(LostRule, ARunThatEndedBeforeTheLastSixthExcusesNothing)
{
    auto request = cutAtWork(1s, 5500ms);
    request.isAtWork = false;
    request.atWorkUntil = start + 5s;
    expectExcused(stopped, request, Reason::LastSixth);
    request.atWorkUntil = start + 5s - 1ms;
    expectLost(stopped, request, Work::Stop);
}

TEST(LostRule, ARequestThatNeverRanIsNotExcusedByTheLastSixth)
{
    expectLost(stopped, cut(2s, 5500ms), Work::Stop);
}

TEST(LostRule, AStopCountsForTheProcessThatFollows)
{
    PlannedWork followed = stopped;
    followed.stops.front().nextStart = start + 2s;
    expectLost(followed, cutAtWork(2500ms, 5500ms), Work::Stop); // Its last sixth is not the new process's
    expectLost(followed, cut(7s, 8s), Work::Stop);
    EXPECT_EQ(judgeIn(followed, cut(7s + 1ms, 8s)).verdict, Verdict::Failed);
}

TEST(LostRule, WhatEndedBeforeAStopIsNotHeldAgainstIt)
{
    EXPECT_EQ(judgeIn(stopped, cut(-2s, -1ms)).verdict, Verdict::Failed);
    expectLost(stopped, cut(-2s, 0s), Work::Stop);
}

TEST(LostRule, AnOwnAnswerInPlaceOfARunCountsOnlyAfterASIGTERM)
{
    const auto request = answered(cutAtWork(1s, 2s), AnswerOf::Daemon, 502);
    expectLost(stopped, request, Work::Stop);
    EXPECT_EQ(judgeIn(reloaded, request).verdict, Verdict::Failed);
    EXPECT_EQ(judgeIn({}, request).verdict, Verdict::Failed);
    auto ended = request;
    ended.isAtWork = false;
    EXPECT_EQ(judgeIn(stopped, ended).verdict, Verdict::Failed);
}

TEST(LostRule, AReloadCountsForWhatWasSentSoonAfterItAndCutAfterIt)
{
    expectLost(reloaded, cut(-5s, 1s), Work::Reload);
    expectLost(reloaded, cutAtWork(applyTime, 4s), Work::Reload);
    EXPECT_EQ(judgeIn(reloaded, cutAtWork(applyTime + 1ms, 4s)).verdict, Verdict::Failed);
    EXPECT_EQ(judgeIn(reloaded, cutAtWork(-1s, -1ms)).verdict, Verdict::Failed);
}

TEST(LostRule, AConfigurationCountsUntilItIsInForceAndNotForRequestsThatHaveUsedTheirTime)
{
    const std::vector<Configuration> configurations { { start, start + 1s } };
    EXPECT_EQ(judge(cut(4s, 5s), {}, configurations).work, Work::Configuration);
    EXPECT_EQ(judge(cut(4s + 1ms, 5s), {}, configurations).verdict, Verdict::Failed);
    EXPECT_EQ(judge(cut(-2s, -1ms), {}, configurations).verdict, Verdict::Failed);
    auto request = cutAtWork(0s, 7s - 1ms);
    request.routeLimit = start + 10s;
    EXPECT_EQ(judge(request, {}, configurations).verdict, Verdict::Lost);
    request.ended = start + 7s;
    EXPECT_EQ(judge(request, {}, configurations).verdict, Verdict::Failed);
}

TEST(LostRule, DeadlinesRouteLimitsAndBackendServersThatBreakOffExcuse)
{
    auto request = cutAtWork(1s, 2s);
    request.deadline = start + 2s;
    expectExcused(stopped, request, Reason::Deadline);
    request.deadline += 1ms;
    expectLost(stopped, request, Work::Stop);
    request.routeLimit = start + 2s;
    expectExcused(stopped, request, Reason::RouteLimit);
    request.routeLimit += 1ms;
    expectLost(stopped, request, Work::Stop);
    request.isBrokenOffByBackend = true;
    expectExcused(stopped, request, Reason::BackendServer);
}

TEST(LostRule, TheStopOfTheBackendServersDaemonExcusesNothingAtTheOneThatTookTheRequest)
{
    const PlannedWork early { { { start - 3s, shutdownTime } }, {} };
    const PlannedWork late { { { start, shutdownTime } }, {} };
    const auto request = cutAtWork(-1s, 2500ms);
    EXPECT_TRUE(isLateInStop(request, early.stops));
    EXPECT_EQ(judgeIn({}, request).verdict, Verdict::Failed);
    expectLost(late, request, Work::Stop); // The taker leaves too
}

TEST(LostRule, DisruptionsCountFromTheStableWindowBeforeTheRequestToItsEnd)
{
    const auto request = cut(0s, 1s);
    const auto isBeside = [&request](Duration from, Duration to) {
        const std::vector<Disruption> disruptions { { start + from, start + to } };
        return isBesideDisruption(request, disruptions);
    };
    EXPECT_TRUE(isBeside(-4s, -stableWindow));
    EXPECT_FALSE(isBeside(-4s, -stableWindow - 1ms));
    EXPECT_TRUE(isBeside(1s, 2s));
    EXPECT_FALSE(isBeside(1s + 1ms, 2s));
}

} // namespace
} // namespace shallot::lost
