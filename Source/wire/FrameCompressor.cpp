#include "wire/FrameCompressor.h"

#include <zlib.h>

#include <algorithm>
#include <vector>

namespace shallot {

namespace {

constexpr int windowBits = 12;               // 4 KB: larger than most frames plus the dictionary
constexpr int memoryLevel = 5;               // zlib's memLevel: 8 KB of tables, once per process
constexpr size_t expectedExpansionRatio = 4; // Initial buffer size as a multiple of the compressed size
constexpr size_t minimumOutputBytes = 512;

Bytef* toZlib(const uint8_t* bytes)
{
    return const_cast<Bytef*>(bytes); // zlib's API is not const-correct
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
        return fail(ErrorKind::Internal, "zlib could not be initialized for decompression");
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
                return fail(ErrorKind::BadRequest, "the frame was compressed with another dictionary");
            status = inflate(&stream, Z_NO_FLUSH);
        }
        filled = frame.size() - stream.avail_out;
        if (status == Z_STREAM_END)
            break;
        if (status != Z_OK || (stream.avail_out && !stream.avail_in))
            return fail(ErrorKind::BadRequest, "the compressed frame is corrupt or truncated");
        if (frame.size() >= maximumBytes)
            return fail(ErrorKind::TooLarge, "the decompressed frame exceeds " + std::to_string(maximumBytes) + " bytes");
        frame.resize(std::min(maximumBytes, frame.size() * 2));
    }
    frame.resize(filled);
    return frame;
}

} // namespace shallot
