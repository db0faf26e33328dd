#include "wire/FrameReader.h"

#include "wire/FrameCompressor.h"
#include "wire/Frames_generated.h"

#include <cstring>
#include <gtest/gtest.h>
#include <random>

namespace shallot {
namespace {

std::span<const uint8_t> bytesOf(const std::string& text)
{
    return { reinterpret_cast<const uint8_t*>(text.data()), text.size() };
}

std::string callFrame(uint64_t id)
{
    wire::CallT call;
    call.id = id;
    call.service = "profiles";
    call.method = "GET";
    call.target = "/profiles";
    call.body.assign(100, 7);
    wire::FrameT frame;
    frame.body.Set(std::move(call));
    return packFrame(frame);
}

std::string answerFrame(uint64_t id, float level)
{
    wire::AnswerT answer;
    answer.id = id;
    answer.status = 200;
    answer.level = level;
    wire::FrameT frame;
    frame.body.Set(std::move(answer));
    return packFrame(frame);
}

// All frames that these bytes complete.
Result<std::vector<std::unique_ptr<wire::FrameT>>> readAll(FrameReader& reader, std::span<const uint8_t> bytes)
{
    reader.append(bytes);
    std::vector<std::unique_ptr<wire::FrameT>> frames;
    while (true) {
        auto frame = reader.next();
        if (!frame)
            return tl::unexpected(frame.error());
        if (!*frame)
            return frames;
        frames.push_back(std::move(*frame));
    }
}

TEST(FrameReader, ReadsFramesSplitAtEveryByte)
{
    // Regression: frames with 64-bit fields failed verification, because the length prefix shifted their alignment.
    const auto stream = callFrame(1) + answerFrame(2, 1.5F) + callFrame(3);
    for (size_t split = 0; split <= stream.size(); ++split) {
        FrameReader reader;
        auto first = readAll(reader, bytesOf(stream).subspan(0, split));
        auto second = readAll(reader, bytesOf(stream).subspan(split));
        ASSERT_TRUE(first && second);
        ASSERT_EQ(first->size() + second->size(), 3U);
        EXPECT_EQ(reader.bufferedBytes(), 0U);
    }
}

TEST(FrameReader, ReadsCompressedFramesSplitAtEveryByte)
{
    FrameCompressor sender(callFrame(9));
    FrameCompressor receiver(callFrame(9));
    const auto plain = callFrame(1);
    const auto stream = compressPackedFrame(plain, sender) + answerFrame(2, 1.5F) + compressPackedFrame(callFrame(3), sender);
    EXPECT_LT(stream.size(), plain.size() + answerFrame(2, 1.5F).size());
    for (size_t split = 0; split <= stream.size(); ++split) {
        FrameReader reader;
        reader.setCompressor(&receiver);
        auto first = readAll(reader, bytesOf(stream).subspan(0, split));
        auto second = readAll(reader, bytesOf(stream).subspan(split));
        ASSERT_TRUE(first && second);
        for (auto& frame : *second)
            first->push_back(std::move(frame));
        ASSERT_EQ(first->size(), 3U);
        EXPECT_EQ((*first)[0]->body.AsCall()->body.size(), 100U);
        EXPECT_EQ((*first)[2]->body.AsCall()->id, 3U);
    }
}

TEST(FrameReader, RejectsInvalidCompressedFrames)
{
    FrameCompressor sender(callFrame(9));
    FrameCompressor otherDictionary("another dictionary");
    const auto compressed = compressPackedFrame(callFrame(1), sender);
    FrameReader withoutCompressor;
    EXPECT_FALSE(readAll(withoutCompressor, bytesOf(compressed)));
    FrameReader withOtherDictionary;
    withOtherDictionary.setCompressor(&otherDictionary);
    EXPECT_FALSE(readAll(withOtherDictionary, bytesOf(compressed)));
    FrameReader small(150); // Larger than the compressed frame, smaller than what it holds
    small.setCompressor(&sender);
    EXPECT_FALSE(readAll(small, bytesOf(compressed)));
    std::mt19937 random(5);
    for (int i = 0; i < 2000; ++i) {
        auto broken = compressed;
        broken[4 + random() % (broken.size() - 4)] ^= static_cast<char>(1 + random() % 255);
        FrameReader reader;
        reader.setCompressor(&sender);
        (void)readAll(reader, bytesOf(broken)); // Must neither crash nor hang; the checksum detects nearly all mutations
        readAll(reader, bytesOf(compressed));
    }
    FrameReader again;
    again.setCompressor(&sender);
    EXPECT_TRUE(readAll(again, bytesOf(compressed)));
}

TEST(FrameReader, FramesThatWouldNotShrinkStayUncompressed)
{
    wire::CallT call;
    call.service = "s";
    call.method = "GET";
    call.target = "/";
    std::mt19937 random(5);
    for (int i = 0; i < 1000; ++i)
        call.body.push_back(static_cast<uint8_t>(random()));
    wire::FrameT frame;
    frame.body.Set(std::move(call));
    FrameCompressor compressor("x");
    const auto packed = packFrame(frame);
    EXPECT_LE(compressPackedFrame(packed, compressor).size(), packed.size());
}

TEST(FrameReader, RejectsAnOversizedFrameByItsLengthPrefix)
{
    FrameReader reader(1000);
    const uint32_t length = 1001;
    std::string bytes(4, '\0');
    std::memcpy(bytes.data(), &length, 4);
    const auto frames = readAll(reader, bytesOf(bytes));
    ASSERT_FALSE(frames);
    EXPECT_EQ(frames.error().kind, ErrorKind::TooLarge);
}

TEST(FrameReader, SurvivesRandomAndMutatedBytes)
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 20'000; ++round) {
        auto stream = random() % 2 ? callFrame(random()) : answerFrame(random(), 0);
        const int mutations = 1 + static_cast<int>(random() % 8);
        for (int i = 0; i < mutations; ++i)
            stream[random() % stream.size()] = static_cast<char>(random());
        FrameReader reader(4096);
        const auto frames = readAll(reader, bytesOf(stream));
        const auto kind = frames ? ErrorKind::None : frames.error().kind;
        EXPECT_TRUE(kind == ErrorKind::None || kind == ErrorKind::BadRequest || kind == ErrorKind::TooLarge);
        EXPECT_LE(reader.bufferedBytes(), stream.size());
    }
}

} // namespace
} // namespace shallot
