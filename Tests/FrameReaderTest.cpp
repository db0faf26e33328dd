#include "wire/FrameReader.h"

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

TEST(FrameReader, ReadsFramesCutAtEveryByte)
{
    // Frames with 64-bit fields once failed verification, because the length prefix shifted their alignment.
    const auto stream = callFrame(1) + answerFrame(2, 1.5F) + callFrame(3);
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        FrameReader reader;
        auto first = reader.read(bytesOf(stream).subspan(0, cut));
        auto second = reader.read(bytesOf(stream).subspan(cut));
        ASSERT_TRUE(first && second);
        ASSERT_EQ(first->size() + second->size(), 3U);
        EXPECT_EQ(reader.bufferedBytes(), 0U);
    }
}

TEST(FrameReader, RefusesAnOversizedFrameBeforeItArrives)
{
    FrameReader reader(1000);
    const uint32_t length = 1001;
    std::string bytes(4, '\0');
    std::memcpy(bytes.data(), &length, 4);
    const auto frames = reader.read(bytesOf(bytes));
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
        const auto frames = reader.read(bytesOf(stream));
        const auto kind = frames ? ErrorKind::None : frames.error().kind;
        EXPECT_TRUE(kind == ErrorKind::None || kind == ErrorKind::BadRequest || kind == ErrorKind::TooLarge);
        EXPECT_LE(reader.bufferedBytes(), stream.size());
    }
}

} // namespace
} // namespace shallot
