// Reads of the platform's store that leave out the newest records, or bring bytes that are no records.

#include "SidecarHarness.h"
#include "TestPorts.h"
#include "mesh/MeshSettings.h"
#include "sidecar/FollowSettings.h"
#include "sidecar/StoreFollower.h"

#include <glib.h>
#include <gtest/gtest.h>

namespace shallot {
namespace {

using namespace std::chrono_literals;

constexpr size_t longDocumentBytes = 225 * 1024; // Four of them fill a read
constexpr uint64_t missedChanges = 10;

// A key that had been withdrawn during a cut ran again while its daemon read what it had missed.
TEST(IncompleteReads, AWithdrawnKeyIsNotAcceptedAgainWhileADaemonCatchesUp)
{
    SidecarHarness mesh({ "zone-a/alpha" });
    mesh.settings.keyStaleness = 2s;
    ASSERT_TRUE(mesh.waitUntilServing());
    ASSERT_EQ(mesh.fetch(0, "/read/1", "key-2").status(), 200);
    mesh.store().setMode(StoreStandin::Mode::Unresponsive);
    mesh.configurationPadding = longDocumentBytes;
    for (uint64_t version = 2; version < 2 + missedChanges; ++version)
        mesh.writeConfiguration(version, version <= missedChanges ? R"(["key-1","key-2"])" : R"(["key-1"])");
    mesh.runFor(mesh.settings.keyStaleness);
    mesh.store().setMode(StoreStandin::Mode::Serving);
    EXPECT_TRUE(mesh.runUntil([&] {
        EXPECT_NE(mesh.fetch(0, "/read/1", "key-2").status(), 200);
        return mesh.fetch(0, "/read/1", "key-1").status() == 200;
    }));
    EXPECT_EQ(mesh.fetch(0, "/read/1", "key-2").status(), 401);
}

class IncompleteReadsOf : public testing::TestWithParam<platform::StoreTopic> {
protected:
    IncompleteReadsOf()
        : address { "127.0.0.1", nextBasePort() }
        , store(address)
        , client(address)
        , follower(client, isConfiguration() ? followConfiguration({}) : followMembers(),
              [this](const FollowerUpdate& read, std::optional<TimePoint> seenUntil) {
                  records += read.records.size();
                  confirmations.push_back(seenUntil);
              })
    {
    }

    static bool isConfiguration() { return GetParam() == platform::StoreTopic::Configuration; }

    static void runUntil(const std::function<bool()>& condition)
    {
        const auto end = MonotonicClock::now() + 5s;
        Timer wake;
        wake.startRepeating(10ms, [] {});
        while (!condition() && MonotonicClock::now() < end)
            g_main_context_iteration(nullptr, TRUE);
    }

    SocketAddress address;
    StoreStandin store;
    platform::StoreClient client;
    StoreFollower follower;
    size_t records { 0 };
    std::vector<std::optional<TimePoint>> confirmations; // Of each read
};

// The newest records came a delay later, and the records before them were taken for the newest until then.
TEST_P(IncompleteReadsOf, AreContinuedAtOnceAndConfirmNothing)
{
    follower.start();
    runUntil([&] { return !confirmations.empty(); });
    follower.setPaused(true);
    confirmations.clear();
    const auto callsBefore = store.callCount();
    for (uint64_t i = 0; i < missedChanges; ++i)
        store.put(isConfiguration() ? "keyed.op" : "keyed.members", std::to_string(i), std::string(longDocumentBytes, 'x'));
    const auto readAt = MonotonicClock::now();
    follower.readOnce();
    runUntil([&] { return records == missedChanges; });
    EXPECT_EQ(records, missedChanges);
    EXPECT_EQ(store.callCount() - callsBefore, 3U); // 4, 4 and 2 records
    EXPECT_LT(MonotonicClock::now() - readAt, followMembers().readDelay);
    ASSERT_EQ(confirmations.size(), 3U);
    EXPECT_FALSE(confirmations[0]);
    EXPECT_FALSE(confirmations[1]);
    ASSERT_TRUE(confirmations[2]);
    EXPECT_GT(*confirmations[2], readAt);
    runUntil([end = MonotonicClock::now() + 100ms] { return MonotonicClock::now() > end; });
    EXPECT_EQ(store.callCount() - callsBefore, 3U); // It is paused
}

// A daemon that had been cut off for longer than the store keeps records refused keys for one more second.
TEST_P(IncompleteReadsOf, AreContinuedWithTheSnapshotWhereRecordsAreNoLongerKept)
{
    const std::string topic = isConfiguration() ? "keyed.op" : "keyed.members";
    follower.start();
    runUntil([&] { return !confirmations.empty(); });
    follower.setPaused(true);
    confirmations.clear();
    store.put(topic, "a", "x");
    store.put(topic, "b", "x");
    store.trim(topic);
    follower.readOnce();
    runUntil([&] { return records == 2; });
    EXPECT_EQ(records, 2U);
    EXPECT_EQ(confirmations.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(EachTopic, IncompleteReadsOf,
    testing::Values(platform::StoreTopic::Configuration, platform::StoreTopic::Members),
    [](const auto& info) { return info.param == platform::StoreTopic::Configuration ? "Configuration" : "Members"; });

TEST(IncompleteReads, ASnapshotOfSeveralPagesIsReadToItsEnd)
{
    constexpr size_t keys = 1'200; // More than two pages
    const SocketAddress address { "127.0.0.1", nextBasePort() };
    StoreStandin store(address);
    platform::StoreClient client(address);
    for (size_t i = 0; i < keys; ++i)
        store.put("keyed.members", "member " + std::to_string(i), "x");
    std::optional<Result<platform::StoreRead>> read;
    client.readSnapshot(
        platform::StoreTopic::Members, 1s, [&read](Result<platform::StoreRead> result) { read = std::move(result); });
    while (!read)
        g_main_context_iteration(nullptr, TRUE);
    ASSERT_TRUE(*read);
    EXPECT_EQ((*read)->records.size(), keys);
    EXPECT_TRUE((*read)->isComplete());
}

// A store that answers each call with the same bytes.
class StoreAnswers : public testing::Test {
protected:
    StoreAnswers()
        : address { "127.0.0.1", nextBasePort() }
        , client(address)
    {
        const auto started = server.start(address, {},
            { [this](const RefPtr<StrictHTTPConnection>& connection, const HTTPRequest&) {
                 connection->respond({ 200, {}, body }, false, MonotonicClock::now());
             },
                nullptr });
        EXPECT_TRUE(started.has_value());
    }

    static std::string bigEndian(uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(value >> (8 * i));
        return text;
    }

    // Of a partition that ends there and keeps all of its records.
    static std::string headerOf(uint64_t endOffset) { return bigEndian(endOffset, 8) + bigEndian(0, 8); }

    static std::string recordOf(const std::string& key, const std::string& value)
    {
        return bigEndian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key + value;
    }

    Result<platform::StoreRead> await(const std::function<void(platform::StoreClient::ReadCompletion)>& start)
    {
        std::optional<Result<platform::StoreRead>> result;
        start([&result](Result<platform::StoreRead> read) { result = std::move(read); });
        while (!result)
            g_main_context_iteration(nullptr, TRUE);
        return std::move(*result);
    }

    Result<platform::StoreRead> readFrom(uint64_t offset, std::string answer)
    {
        body = std::move(answer);
        return await([&](auto done) {
            client.readFrom(platform::StoreTopic::Configuration, offset, Duration::zero(), 1s, std::move(done));
        });
    }

    ErrorKind snapshotError(std::string answer)
    {
        body = std::move(answer);
        const auto read
            = await([&](auto done) { client.readSnapshot(platform::StoreTopic::Configuration, 1s, std::move(done)); });
        return read ? ErrorKind::None : read.error().kind;
    }

    SocketAddress address;
    platform::StoreClient client;
    StrictHTTPServer server;
    std::string body;
};

TEST_F(StoreAnswers, ARecordThatCannotBeReadIsPassedOver)
{
    const auto read = readFrom(5, headerOf(7) + bigEndian(2, 4) + "\xffk" + recordOf("k", "value"));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->records.size(), 1U);
    EXPECT_EQ(read->records.front().offset, 6U);
    EXPECT_TRUE(read->isComplete());
}

TEST_F(StoreAnswers, BytesAfterTheLastRecordAreNoCompleteAnswer)
{
    for (size_t bytes = 1; bytes < 4; ++bytes) {
        const auto read = readFrom(5, headerOf(6) + recordOf("k", "value") + std::string(bytes, '\0'));
        ASSERT_FALSE(read);
        EXPECT_EQ(read.error().kind, ErrorKind::BadResponse);
    }
}

// A first record over the size of a read never arrives, and an answer without it confirmed what lay before.
TEST_F(StoreAnswers, RecordsThatTheStoreHoldsAndDoesNotReturnAreReadAnotherWay)
{
    const auto read = readFrom(5, headerOf(6));
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().kind, ErrorKind::LogTrimmed);
}

TEST_F(StoreAnswers, AnOffsetBeyondTheEndIsNotConfirmed)
{
    const auto read = readFrom(5, headerOf(4));
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().kind, ErrorKind::LogTrimmed);
}

TEST_F(StoreAnswers, ASnapshotWithAPageThatLacksPartsIsNotTakenForTheWhole)
{
    EXPECT_EQ(snapshotError(R"({"items":[],"has_more":false,"end_offset":3})"), ErrorKind::None);
    for (const auto* page : { R"({"items":[],"has_more":false})", R"({"has_more":false,"end_offset":3})",
             R"({"items":[],"has_more":true,"end_offset":3})", R"({"items":[{"value":"eA=="}],"has_more":true,"end_offset":3})",
             R"({"items":[{"key":"same","value":"eA=="}],"has_more":true,"end_offset":3})" })
        EXPECT_EQ(snapshotError(page), ErrorKind::BadResponse) << page;
}

} // namespace
} // namespace shallot
