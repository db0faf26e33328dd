#pragma once

#include "core/Error.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace shallot {

namespace wire {
struct FrameT;
}

class FrameCompressor;

constexpr size_t maximumFrameBytes = 8 * 1024 * 1024;

// Cuts a byte stream into verified frames. After an error the stream is unusable.
class FrameReader {
public:
    explicit FrameReader(size_t maximumBytes = maximumFrameBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    // Takes the bytes and returns the frames that they complete; BadRequest or TooLarge for a stream that is not ours.
    Result<std::vector<std::unique_ptr<wire::FrameT>>> read(std::span<const uint8_t>);
    void setMaximumBytes(size_t bytes) { m_maximumBytes = bytes; }
    // Without one, a compressed frame is an error.
    void setCompressor(FrameCompressor* compressor) { m_compressor = compressor; }
    size_t bufferedBytes() const { return m_buffer.size(); }

private:
    Result<std::vector<uint8_t>> copyFrame(size_t position, size_t length, bool compressed);

    size_t m_maximumBytes;
    FrameCompressor* m_compressor { nullptr };
    std::vector<uint8_t> m_buffer;
};

// A frame as it stands on the wire, length included.
std::string packFrame(const wire::FrameT&);
// The same in fewer bytes where that works out; takes what packFrame() made.
std::string compressPackedFrame(std::string packed, FrameCompressor&);

} // namespace shallot
