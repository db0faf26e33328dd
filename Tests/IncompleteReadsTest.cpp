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

// A first record over the size of a read never arrives, and an answer without it confirmed what lay before (CONFIG).
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
