#include "wire/FrameReader.h"

#include "wire/Frames_generated.h"

#include <cstring>

namespace shallot {

namespace {

constexpr size_t lengthBytes = 4;
constexpr size_t maximumTableDepth = 16;
constexpr size_t maximumTables = 200'000;

} // namespace

Result<std::vector<std::unique_ptr<wire::FrameT>>> FrameReader::read(std::span<const uint8_t> bytes)
{
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
    std::vector<std::unique_ptr<wire::FrameT>> frames;
    size_t consumed = 0;
    while (m_buffer.size() - consumed >= lengthBytes) {
        uint32_t length = 0;
        std::memcpy(&length, m_buffer.data() + consumed, lengthBytes);
        if (length > m_maximumBytes)
            return fail(ErrorKind::TooLarge, "a frame of " + std::to_string(length) + " bytes");
        if (m_buffer.size() - consumed - lengthBytes < length)
            break;
        // FlatBuffers needs its tables aligned, which the position within the stream does not give.
        const std::vector<uint8_t> aligned(m_buffer.begin() + static_cast<ptrdiff_t>(consumed + lengthBytes),
            m_buffer.begin() + static_cast<ptrdiff_t>(consumed + lengthBytes + length));
        flatbuffers::Verifier verifier(aligned.data(), aligned.size(), maximumTableDepth, maximumTables);
        if (!wire::VerifyFrameBuffer(verifier))
            return fail(ErrorKind::BadRequest, "a frame that does not parse");
        frames.push_back(std::unique_ptr<wire::FrameT>(wire::GetFrame(aligned.data())->UnPack()));
        consumed += lengthBytes + length;
    }
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<ptrdiff_t>(consumed));
    return frames;
}

std::string packFrame(const wire::FrameT& frame)
{
    flatbuffers::FlatBufferBuilder builder(1024);
    // Not FinishSizePrefixed(): it aligns the tables behind the length, and the reader looks at them without it.
    builder.Finish(wire::Frame::Pack(builder, &frame));
    const uint32_t length = builder.GetSize();
    std::string bytes(lengthBytes + length, '\0');
    std::memcpy(bytes.data(), &length, lengthBytes);
    std::memcpy(bytes.data() + lengthBytes, builder.GetBufferPointer(), length);
    return bytes;
}

} // namespace shallot
