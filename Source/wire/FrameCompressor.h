#pragma once

#include "core/Error.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

// Compresses single frames (zlib) for links on which traffic is charged. Frames are compressed independently, so there is no
// state per link; a preset dictionary compensates for the missing history.
class FrameCompressor {
public:
    // Both ends of a link need the same dictionary: text that is frequent in frames, the most frequent text last.
    explicit FrameCompressor(std::string_view dictionary);
    ~FrameCompressor();
    FrameCompressor(const FrameCompressor&) = delete;
    FrameCompressor& operator=(const FrameCompressor&) = delete;

    // Returns the compressed frame; empty when it would not be smaller or zlib fails.
    std::string compress(std::span<const uint8_t> frame);
    // BadRequest when the bytes are not a compressed frame or were compressed with another dictionary, TooLarge when the frame
    // exceeds `maximumBytes`, Internal when zlib could not be initialized.
    Result<std::vector<uint8_t>> decompress(std::span<const uint8_t> bytes, size_t maximumBytes);

private:
    struct Streams;

    std::string m_dictionary;
    std::unique_ptr<Streams> m_streams;
};

} // namespace shallot
