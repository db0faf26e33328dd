#include "wire/FrameCompressor.h"

#include <zlib.h>

#include <algorithm>
#include <vector>

namespace shallot {

namespace {

constexpr int windowBits = 12;               // 4 KB, more than most frames and the dictionary together
constexpr int memoryLevel = 5;               // Of zlib: 8 KB for its table, once for a process
constexpr size_t expectedExpansionRatio = 4; // Expanded size as a multiple of the compressed one
constexpr size_t minimumOutputBytes = 512;   // Bytes

Bytef* toZlib(const uint8_t* bytes)
{
    return const_cast<Bytef*>(bytes); // zlib's interface lacks the const
}

} // namespace

struct FrameCompressor::Streams {
    z_stream deflater {};
    z_stream inflater {};
    bool canDeflate { false };
    bool canInflate { false };

    Streams()
        : canDeflate(deflateInit2(&deflater, Z_BEST_SPEED, Z_DEFLATED, windowBits, memoryLevel, Z_DEFAULT_STRATEGY) == Z_OK)
        , canInflate(inflateInit2(&inflater, windowBits) == Z_OK)
    {
    }

    ~Streams()
    {
        deflateEnd(&deflater);
        inflateEnd(&inflater);
    }
};

FrameCompressor::FrameCompressor(std::string_view dictionary)
    : m_dictionary(dictionary)
    , m_streams(std::make_unique<Streams>())
{
}

FrameCompressor::~FrameCompressor() = default;

std::string FrameCompressor::compress(std::span<const uint8_t> frame)
{
    auto& stream = m_streams->deflater;
    const auto* dictionary = reinterpret_cast<const Bytef*>(m_dictionary.data());
    if (!m_streams->canDeflate || deflateReset(&stream) != Z_OK
        || deflateSetDictionary(&stream, dictionary, static_cast<uInt>(m_dictionary.size())) != Z_OK)
        return {};
    std::string bytes(frame.size(), '\0');
    stream.next_in = toZlib(frame.data());
    stream.avail_in = static_cast<uInt>(frame.size());
    stream.next_out = reinterpret_cast<Bytef*>(bytes.data());
    stream.avail_out = static_cast<uInt>(bytes.size());
    if (deflate(&stream, Z_FINISH) != Z_STREAM_END)
        return {};
    bytes.resize(bytes.size() - stream.avail_out);
    return bytes;
}

Result<std::vector<uint8_t>> FrameCompressor::decompress(std::span<const uint8_t> bytes, size_t maximumBytes)
{
    auto& stream = m_streams->inflater;
    if (!m_streams->canInflate || inflateReset(&stream) != Z_OK)
        return fail(ErrorKind::Internal, "the decompressor could not be started");
    stream.next_in = toZlib(bytes.data());
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::vector<uint8_t> frame(std::min(maximumBytes, std::max(minimumOutputBytes, bytes.size() * expectedExpansionRatio)));
    size_t filled = 0;
    while (true) {
        stream.next_out = frame.data() + filled;
        stream.avail_out = static_cast<uInt>(frame.size() - filled);
        auto status = inflate(&stream, Z_NO_FLUSH);
        if (status == Z_NEED_DICT) {
            const auto* dictionary = reinterpret_cast<const Bytef*>(m_dictionary.data());
            if (inflateSetDictionary(&stream, dictionary, static_cast<uInt>(m_dictionary.size())) != Z_OK)
                return fail(ErrorKind::BadRequest, "a frame compressed with another dictionary");
            status = inflate(&stream, Z_NO_FLUSH);
        }
        filled = frame.size() - stream.avail_out;
        if (status == Z_STREAM_END)
            break;
        if (status != Z_OK || (stream.avail_out && !stream.avail_in))
            return fail(ErrorKind::BadRequest, "a compressed frame that does not expand");
        if (frame.size() >= maximumBytes)
            return fail(ErrorKind::TooLarge, "a compressed frame of more than " + std::to_string(maximumBytes) + " bytes");
        frame.resize(std::min(maximumBytes, frame.size() * 2));
    }
    frame.resize(filled);
    return frame;
}

} // namespace shallot
