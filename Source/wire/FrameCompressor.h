#pragma once

#include "core/Error.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

// Deflates single frames for links whose bytes cost. Each frame stands for itself, so nothing is kept for a link; the preset
// dictionary makes up for the missing history.
class FrameCompressor {
public:
    // Both ends of a link need the same dictionary: text that frames often hold, the most frequent last.
    explicit FrameCompressor(std::string_view dictionary);
    ~FrameCompressor();
    FrameCompressor(const FrameCompressor&) = delete;
    FrameCompressor& operator=(const FrameCompressor&) = delete;

    // The frame in fewer bytes; empty where that does not work.
    std::string compress(std::span<const uint8_t> frame);
    // BadRequest for bytes that are no compressed frame or were made with another dictionary, TooLarge for a larger frame.
    Result<std::vector<uint8_t>> decompress(std::span<const uint8_t> bytes, size_t maximumBytes);

private:
    struct Streams;

    std::string m_dictionary;
    std::unique_ptr<Streams> m_streams;
};

} // namespace shallot
