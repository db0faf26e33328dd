// What daemons of different architectures exchange or compare: each builds the recorded bytes and reads them.

#include "core/Digest.h"
#include "mesh/MemberList.h"
#include "platform/MemberCodec.h"
#include "sidecar/MeshFrames.h"
#include "wire/FrameCompressor.h"
#include "wire/FrameReader.h"
#include "wire/Frames_generated.h"

#include <gtest/gtest.h>

namespace shallot {
namespace {

const std::string recordedFrame
    = "68000000100000000000000008000e000700080008000000000000041c000000000016001c00140006000000080000000c0000000000"
      "1000160000000000f70124000000100000000000c0bf0807060504030201080000004ac3a972c3b46d650000000004000000007f80ff";
const std::string recordedCompressedFrame
    = "4d000080482c510470f313009320bd2871ca22031617639001c61bc8ad20b341710fd22106a6bf33aa807920ce81fd1cec6cac2ccc4c8c20"
      "755e8757161dde920b76c32f201fe8bd110a181800ebd2023b";

std::string toHexText(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes) {
        constexpr std::string_view digits = "0123456789abcdef";
        text += digits[static_cast<unsigned char>(byte) >> 4];
        text += digits[static_cast<unsigned char>(byte) & 15];
    }
    return text;
}

std::string fromHexText(std::string_view text)
{
    std::string bytes;
    for (size_t i = 0; i < text.size(); i += 2)
        bytes += static_cast<char>(std::stoi(std::string(text.substr(i, 2)), nullptr, 16));
    return bytes;
}

std::span<const uint8_t> bytesOf(const std::string& text)
{
    return { reinterpret_cast<const uint8_t*>(text.data()), text.size() };
}

// Fields of all sizes, a negative number among them, and text and bytes with the highest bit set.
wire::FrameT answerFrame(const std::vector<uint8_t>& body)
{
    wire::AnswerT answer;
    answer.id = 0x0102030405060708ULL;
    answer.status = 503;
    answer.level = -1.5F;
    answer.detail = "Jérôme";
    answer.body = body;
    wire::FrameT frame;
    frame.body.Set(std::move(answer));
    return frame;
}

MeshMember member()
{
    MeshMember member { "daemon-1", "wa-perth", "127.0.0.1:7000", "profiles", { "profiles-é", 1'800'000'000'123 }, {} };
    member.crashSuspects
        = { { UINT64_MAX, 3, 1, std::chrono::sys_seconds(std::chrono::seconds(1'800'000'000)), { 4, UINT64_MAX } } };
    return member;
}

void expectAnswer(FrameReader& reader, const std::string& bytes, const std::vector<uint8_t>& body)
{
    reader.append(bytesOf(bytes));
    const auto frame = reader.next();
    ASSERT_TRUE(frame.has_value() && *frame);
    const auto* answer = (*frame)->body.AsAnswer();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->id, 0x0102030405060708ULL);
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(answer->level, -1.5F);
    EXPECT_EQ(answer->detail, "Jérôme");
    EXPECT_EQ(answer->body, body);
}

TEST(SharedBytes, AFrameIsBuiltAndReadAsRecorded)
{
    const std::vector<uint8_t> body { 0, 127, 128, 255 };
    EXPECT_EQ(toHexText(packFrame(answerFrame(body))), recordedFrame);
    FrameReader reader;
    expectAnswer(reader, fromHexText(recordedFrame), body);
}

// Versions of zlib may compress to other bytes, so these are only read.
TEST(SharedBytes, ACompressedFrameIsReadAsRecorded)
{
    const std::vector<uint8_t> body(250, 255);
    FrameCompressor compressor(meshFrameDictionary());
    FrameReader reader;
    reader.setCompressor(&compressor);
    expectAnswer(reader, fromHexText(recordedCompressedFrame), body);
}

TEST(SharedBytes, HashesAreAsRecorded)
{
    EXPECT_EQ(stableHash(""), 17280346270528514342ULL);
    EXPECT_EQ(stableHash("daemon-1"), 9869143983248240914ULL);
    EXPECT_EQ(stableHash("Jérôme", 7), 4388211091019612773ULL);
    EXPECT_EQ(sha256Hex("Jérôme"), "c3c6f9435df1e61c39c967b4c33d49d830a5d8be417e1ff5d396a38ace9902b2");
}

TEST(SharedBytes, AMemberRecordAndTheDigestOfTheListAreAsRecorded)
{
    EXPECT_EQ(platform::encodeMember(member()).value,
        R"({"name":"daemon-1","zone":"wa-perth","address":"127.0.0.1:7000","service":"profiles","left_instance":"profiles-é",)"
        R"("left_started_by":1800000000123,"crash_suspects":["18446744073709551615 3 1 1800000000"],)"
        R"("crash_ids":["18446744073709551615 4 18446744073709551615"]})");
    MemberList list;
    list.applySnapshot(5, { member() });
    EXPECT_EQ(list.state().digest, 14837704300006535494ULL);
}

} // namespace
} // namespace shallot
