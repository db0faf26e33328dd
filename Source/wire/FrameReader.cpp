#include "wire/FrameReader.h"

#include "wire/FrameCompressor.h"
#include "wire/Frames_generated.h"

#include <cstring>

namespace shallot {

namespace {

constexpr size_t lengthBytes = 4;
constexpr uint32_t compressedFlag = 0x8000'0000U;   // In the length prefix
constexpr size_t minimumCompressedFrameBytes = 200; // Smaller frames (handshakes, queries) are rare
constexpr size_t maximumTableDepth = 16;
constexpr size_t keptBufferBytes = 128 * 1024; // Two reads of a socket
constexpr size_t maximumTables = 200'000;

} // namespace

void FrameReader::append(std::span<const uint8_t> bytes)
{
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<ptrdiff_t>(m_consumed));
    m_consumed = 0;
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

Result<std::unique_ptr<wire::FrameT>> FrameReader::next()
{
    if (bufferedBytes() < lengthBytes)
        return nullptr;
    uint32_t length = 0;
    std::memcpy(&length, m_buffer.data() + m_consumed, lengthBytes);
    const bool compressed = length & compressedFlag;
    length &= ~compressedFlag;
    if (length > m_maximumBytes)
        return fail(ErrorKind::TooLarge, "a frame of " + std::to_string(length) + " bytes exceeds the limit");
    if (bufferedBytes() - lengthBytes < length)
        return nullptr;
    const auto alignedFrame = copyFrame(m_consumed + lengthBytes, length, compressed);
    if (!alignedFrame)
        return tl::unexpected(alignedFrame.error());
    flatbuffers::Verifier verifier(alignedFrame->data(), alignedFrame->size(), maximumTableDepth, maximumTables);
    if (!wire::VerifyFrameBuffer(verifier))
        return fail(ErrorKind::BadRequest, "the frame failed verification");
    m_consumed += lengthBytes + length;
    releaseLongBuffer();
    return std::unique_ptr<wire::FrameT>(wire::GetFrame(alignedFrame->data())->UnPack());
}

// The buffer of a long frame is not kept for the short ones behind it.
void FrameReader::releaseLongBuffer()
{
    if (bufferedBytes() > keptBufferBytes || m_buffer.capacity() <= keptBufferBytes)
        return;
    m_buffer = std::vector<uint8_t>(m_buffer.begin() + static_cast<ptrdiff_t>(m_consumed), m_buffer.end());
    m_consumed = 0;
}

// Returns a copy, because FlatBuffers requires alignment, which the position in the stream does not guarantee.
Result<std::vector<uint8_t>> FrameReader::copyFrame(size_t position, size_t length, bool compressed)
{
    const auto bytes = std::span<const uint8_t>(m_buffer).subspan(position, length);
    if (!compressed)
        return std::vector<uint8_t>(bytes.begin(), bytes.end());
    if (!m_compressor)
        return fail(ErrorKind::BadRequest, "compressed frame on a link without compression");
    return m_compressor->decompress(bytes, m_maximumBytes);
}

std::string packFrame(const wire::FrameT& frame)
{
    flatbuffers::FlatBufferBuilder builder(1024);
    // Not FinishSizePrefixed(): it aligns the tables relative to the length prefix, which the reader strips before verification.
    builder.Finish(wire::Frame::Pack(builder, &frame));
    const uint32_t length = builder.GetSize();
    std::string bytes(lengthBytes + length, '\0');
    std::memcpy(bytes.data(), &length, lengthBytes);
    std::memcpy(bytes.data() + lengthBytes, builder.GetBufferPointer(), length);
    return bytes;
}

std::string compressPackedFrame(std::string packed, FrameCompressor& compressor)
{
    if (packed.size() < minimumCompressedFrameBytes)
        return packed;
    const auto* frame = reinterpret_cast<const uint8_t*>(packed.data()) + lengthBytes;
    const auto compressed = compressor.compress({ frame, packed.size() - lengthBytes });
    if (compressed.empty())
        return packed;
    const uint32_t length = static_cast<uint32_t>(compressed.size()) | compressedFlag;
    packed.resize(lengthBytes + compressed.size());
    std::memcpy(packed.data(), &length, lengthBytes);
    std::memcpy(packed.data() + lengthBytes, compressed.data(), compressed.size());
    return packed;
}

} // namespace shallot
