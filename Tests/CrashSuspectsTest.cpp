// Decisions on requests that crash backend servers, with time passed in.

#include "mesh/CrashSuspects.h"
#include "mesh/AnsweredRequests.h"
#include "mesh/MeshSettings.h"
#include "platform/MemberCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t culprit = 1;
constexpr uint64_t popular = 2;
constexpr std::chrono::sys_seconds start { 1'800'000'000s };

// Several daemons that exchange their records when told to.
struct Fleet {
    explicit Fleet(size_t size)
        : daemons(size, CrashSuspects(settings))
    {
    }

    CrashSuspects::InterruptedRun runAt(size_t daemon, uint64_t fingerprint)
    {
        return { fingerprint, daemons[daemon].crashesOf(fingerprint, now) };
    }
    void crash(size_t daemon, std::vector<CrashSuspects::InterruptedRun> runs) { daemons[daemon].recordCrash(runs, now); }
    void exchange()
    {
        for (const auto& from : daemons) {
            const auto records = from.ownRecords(now);
            for (auto& to : daemons)
                to.merge(records, now);
        }
    }

    MeshSettings settings;
    std::vector<CrashSuspects> daemons;
    std::chrono::sys_seconds now { start };
};

TEST(CrashSuspects, ARequestIsRefusedByAllDaemonsAfterThreeSuccessiveCrashes)
{
    Fleet fleet(3);
    for (size_t i = 0; i < 3; ++i) {
        EXPECT_FALSE(fleet.daemons[i].isRefused(culprit, fleet.now));
        fleet.crash(i, { fleet.runAt(i, culprit) });
        fleet.exchange();
    }
    for (const auto& daemon : fleet.daemons)
        EXPECT_TRUE(daemon.isRefused(culprit, fleet.now));
}

TEST(CrashSuspects, APopularRequestThatRunsAtManyBackendServersWhenAllOfThemCrashIsNotRefused)
{
    Fleet fleet(8);
    for (size_t i = 0; i < fleet.daemons.size(); ++i)
        fleet.crash(i, { fleet.runAt(i, popular), fleet.runAt(i, popular) });
    fleet.exchange();
    for (const auto& daemon : fleet.daemons)
        EXPECT_FALSE(daemon.isRefused(popular, fleet.now));
}

TEST(CrashSuspects, ARequestThatNoBackendServerHadAnsweredIsRefusedAfterThreeCrashesAtOnce)
{
    Fleet fleet(4);
    for (size_t i = 0; i < 3; ++i) {
        const uint64_t crashID = 100 + i;
        fleet.crash(i, { { culprit, 0, crashID }, { culprit, 0, crashID }, fleet.runAt(i, popular) });
    }
    EXPECT_FALSE(fleet.daemons[0].isRefused(culprit, fleet.now));
    fleet.exchange();
    for (const auto& daemon : fleet.daemons) {
        EXPECT_TRUE(daemon.isRefused(culprit, fleet.now));
        EXPECT_FALSE(daemon.isRefused(popular, fleet.now));
    }
}

TEST(CrashSuspects, CrashesAtTheSameTimeNoLongerCountOnceTheRequestIsAnswered)
{
    Fleet fleet(3);
    for (size_t i = 0; i < 2; ++i)
        fleet.crash(i, { { popular, 0, 100 + i } });
    fleet.exchange();
    EXPECT_TRUE(fleet.daemons[2].isIsolated(popular, fleet.now));
    EXPECT_TRUE(fleet.daemons[2].recordAnswer(popular, fleet.now));
    fleet.exchange();
    fleet.crash(0, { { popular, fleet.daemons[0].crashesOf(popular, fleet.now), 102 } });
    fleet.exchange();
    for (const auto& daemon : fleet.daemons)
        EXPECT_FALSE(daemon.isRefused(popular, fleet.now));
}

TEST(AnsweredRequests, AreForgottenAfterAWhile)
{
    AnsweredRequests answered;
    const TimePoint answeredAt { 1h };
    EXPECT_FALSE(answered.contains(popular, answeredAt));
    answered.record(popular, answeredAt);
    EXPECT_TRUE(answered.contains(popular, answeredAt + 30s));
    EXPECT_FALSE(answered.contains(culprit, answeredAt));
    EXPECT_FALSE(answered.contains(popular, answeredAt + 10min));
}

TEST(CrashSuspects, AnAnswerClearsARequestThatRanBesideTheCulprit)
{
    Fleet fleet(4);
    for (size_t i = 0; i < 4; ++i) {
        fleet.crash(i, { fleet.runAt(i, culprit), fleet.runAt(i, popular) });
        fleet.exchange();
        fleet.daemons[0].recordAnswer(popular, fleet.now);
        fleet.exchange();
    }
    for (const auto& daemon : fleet.daemons) {
        EXPECT_TRUE(daemon.isRefused(culprit, fleet.now));
        EXPECT_FALSE(daemon.isRefused(popular, fleet.now));
    }
}

TEST(CrashSuspects, ADaemonThatRestartsIsToldWhatTheOthersPublished)
{
    Fleet fleet(3);
    // The last evidence of each daemon: two crashes of its own, a clearing, and the crash after it.
    fleet.crash(0, { { popular, 1 } });
    fleet.daemons[1].merge(fleet.daemons[0].ownRecords(fleet.now), fleet.now);
    EXPECT_TRUE(fleet.daemons[1].recordAnswer(popular, fleet.now));
    fleet.daemons[2].merge(fleet.daemons[1].ownRecords(fleet.now), fleet.now);
    fleet.crash(2, { fleet.runAt(2, popular) });
    fleet.exchange();
    CrashSuspects restarted(fleet.settings);
    for (const auto& daemon : fleet.daemons)
        restarted.merge(daemon.ownRecords(fleet.now), fleet.now);
    EXPECT_EQ(restarted.crashesOf(popular, fleet.now), 3U);
    EXPECT_FALSE(restarted.isRefused(popular, fleet.now));
}

TEST(CrashSuspects, ARefusalLastsWhileCallersResendAndEndsAfterItsLifetime)
{
    Fleet fleet(1);
    auto& daemon = fleet.daemons[0];
    fleet.crash(0, { { culprit, 2 } });
    const auto step = std::chrono::duration_cast<std::chrono::seconds>(fleet.settings.crashSuspectLifetime / 2);
    for (int i = 0; i < 4; ++i) {
        fleet.now += step;
        ASSERT_TRUE(daemon.isRefused(culprit, fleet.now));
        daemon.recordRefusal(culprit, fleet.now);
    }
    fleet.now += 2 * step;
    EXPECT_FALSE(daemon.isRefused(culprit, fleet.now));
    EXPECT_EQ(daemon.crashesOf(culprit, fleet.now), 0U);
    EXPECT_TRUE(daemon.ownRecords(fleet.now).empty());
}

TEST(CrashSuspects, TheMostSuspectedRequestsArePublishedFirst)
{
    Fleet fleet(1);
    std::vector<CrashSuspects::InterruptedRun> runs;
    for (uint64_t i = 0; i < 3 * fleet.settings.maximumPublishedSuspects; ++i)
        runs.push_back({ 100 + i, 0 });
    fleet.crash(0, { { culprit, 2 } });
    fleet.crash(0, runs);
    const auto records = fleet.daemons[0].ownRecords(fleet.now);
    ASSERT_EQ(records.size(), fleet.settings.maximumPublishedSuspects);
    EXPECT_EQ(records.front().fingerprint, culprit);
}

RC_GTEST_PROP(CrashSuspects, RecordsMergeToTheSameInAnyOrderAndMoreThanOnce, ())
{
    std::vector<CrashSuspect> records;
    for (int i = 0; i < *rc::gen::inRange(1, 12); ++i) {
        records.push_back({ *rc::gen::inRange<uint64_t>(1, 4), *rc::gen::inRange(0U, 6U), *rc::gen::inRange(0U, 6U),
            start + std::chrono::seconds(*rc::gen::inRange(-900, 900)),
            *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(1, 9)) });
        std::sort(records.back().crashIDs.begin(), records.back().crashIDs.end());
    }
    const MeshSettings settings;
    CrashSuspects inOrder(settings);
    CrashSuspects shuffled(settings);
    inOrder.merge(records, start);
    auto others = records;
    others.insert(others.end(), records.begin(), records.end());
    for (size_t i = others.size() - 1; i; --i)
        std::swap(others[i], others[*rc::gen::inRange<size_t>(0, i + 1)]);
    shuffled.merge(others, start);
    for (uint64_t fingerprint = 1; fingerprint < 4; ++fingerprint) {
        RC_ASSERT(inOrder.crashesOf(fingerprint, start) == shuffled.crashesOf(fingerprint, start));
        RC_ASSERT(inOrder.isRefused(fingerprint, start) == shuffled.isRefused(fingerprint, start));
    }
}

// The oracle: a request that always crashes its backend server is refused after as many rounds as the threshold says, whatever
// crashes beside it; one that is answered between two rounds never is.
RC_GTEST_PROP(CrashSuspects, FindsTheCulpritAndSparesAnsweredRequests, ())
{
    Fleet fleet(*rc::gen::inRange<size_t>(1, 6));
    const auto anyDaemon = [&fleet] { return *rc::gen::inRange<size_t>(0, fleet.daemons.size()); };
    for (unsigned round = 0; round < fleet.settings.crashThreshold; ++round) {
        for (const auto& daemon : fleet.daemons)
            RC_ASSERT(!daemon.isRefused(culprit, fleet.now));
        const auto crashes = *rc::gen::inRange(1, 4);
        std::vector<std::pair<size_t, std::vector<CrashSuspects::InterruptedRun>>> interrupted;
        for (int i = 0; i < crashes; ++i) {
            const auto daemon = anyDaemon();
            interrupted.push_back({ daemon, { fleet.runAt(daemon, culprit), fleet.runAt(daemon, popular) } });
        }
        for (const auto& [daemon, runs] : interrupted)
            fleet.crash(daemon, runs);
        fleet.exchange();
        fleet.daemons[anyDaemon()].recordAnswer(popular, fleet.now);
        fleet.exchange();
        fleet.now += std::chrono::seconds(*rc::gen::inRange(0, 60));
    }
    for (const auto& daemon : fleet.daemons) {
        RC_ASSERT(daemon.isRefused(culprit, fleet.now));
        RC_ASSERT(!daemon.isRefused(popular, fleet.now));
    }
}

TEST(CrashSuspects, MemberRecordsCarryThemAndRejectMalformedOnes)
{
    MeshMember member { "daemon", "zone", "127.0.0.1:1", "alpha", {}, {} };
    member.crashSuspects = { { UINT64_MAX, 3, 1, start, { 4, UINT64_MAX } }, { 7, 1, 0, start, {} } };
    const auto record = platform::encodeMember(member);
    const auto decoded = platform::decodeMember(record);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->crashSuspects, member.crashSuspects);
    for (const auto* text : { "", "1", "1 2 3", "1 2 3 4 5", "x 2 3 4", "1 -2 3 4", "1 99999999999 3 4", "1 2 3 4 " }) {
        auto broken = record;
        const std::string good = "7 1 0 1800000000";
        broken.value.replace(broken.value.find(good), good.size(), text);
        EXPECT_FALSE(platform::decodeMember(broken)) << text;
    }
    for (const auto* text : { "", "x", "1 ", "1 -2", "1 x", "99999999999999999999 1" }) {
        auto broken = record;
        const std::string good = "18446744073709551615 4 18446744073709551615";
        broken.value.replace(broken.value.find(good), good.size(), text);
        EXPECT_FALSE(platform::decodeMember(broken)) << text;
    }
}

} // namespace
} // namespace shallot
