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

constexpr size_t maximumFrameBytes = 9 * 1024 * 1024; // More than the largest request body and its header section

// Splits a byte stream into verified frames. After an error the stream is unusable.
class FrameReader {
public:
    explicit FrameReader(size_t maximumBytes = maximumFrameBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    void append(std::span<const uint8_t>);
    // The next frame; null when more bytes are needed. The limit and the compressor in force at this call apply to it, since a
    // frame may change them for those behind it. BadRequest for an invalid frame, TooLarge for a frame that exceeds the maximum
    // size, Internal when decompression is not available.
    Result<std::unique_ptr<wire::FrameT>> next();
    void setMaximumBytes(size_t bytes) { m_maximumBytes = bytes; }
    // Without a compressor, a compressed frame is an error. The compressor must outlive the reader.
    void setCompressor(FrameCompressor* compressor) { m_compressor = compressor; }
    size_t bufferedBytes() const { return m_buffer.size() - m_consumed; }

private:
    void releaseLongBuffer();
    Result<std::vector<uint8_t>> copyFrame(size_t position, size_t length, bool compressed);

    size_t m_maximumBytes;
    FrameCompressor* m_compressor { nullptr };
    std::vector<uint8_t> m_buffer;
    size_t m_consumed { 0 }; // Of the buffer, by frames returned
};

// Serializes a frame with its length prefix, as sent on the wire.
std::string packFrame(const wire::FrameT&);
// Compresses the output of packFrame(); returns it unchanged when it is small or would not shrink.
std::string compressPackedFrame(std::string packed, FrameCompressor&);

} // namespace shallot
