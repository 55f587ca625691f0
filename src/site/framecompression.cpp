#include "site/framecompression.h"

#include <algorithm>
#include <new>
#include <zlib.h>

namespace nutmegtide {

namespace {

constexpr int WindowBits = -9; // the smallest window; negative for no zlib header
constexpr int MemoryLevel = 6;
constexpr std::size_t LeastBody = 64; // bytes; initial size of the output buffer at least
constexpr std::size_t FirstGrowth = 4; // initial output size as a multiple of the compressed body

Bytef *bytesOf(std::string_view text)
{
    return const_cast<Bytef *>(reinterpret_cast<const Bytef *>(text.data()));
}

// `end` is deflateEnd or inflateEnd, which also accept a stream that was never initialized.
template <int (*end)(z_stream_s *)>
ZlibStream makeState()
{
    return {new z_stream_s(), [](z_stream_s *stream) {
                end(stream);
                delete stream;
            }};
}

} // namespace

FrameCompressor::FrameCompressor()
    : m_stream(makeState<deflateEnd>())
{
    if (deflateInit2(m_stream.get(), Z_BEST_SPEED, Z_DEFLATED, WindowBits, MemoryLevel,
                     Z_HUFFMAN_ONLY)
        != Z_OK)
        throw std::bad_alloc();
}

std::string FrameCompressor::compress(std::string_view body)
{
    deflateReset(m_stream.get());
    std::string compressed(deflateBound(m_stream.get(), body.size()), '\0');
    m_stream->next_in = bytesOf(body);
    m_stream->avail_in = static_cast<uInt>(body.size());
    m_stream->next_out = bytesOf(compressed);
    m_stream->avail_out = static_cast<uInt>(compressed.size());
    deflate(m_stream.get(), Z_FINISH);
    compressed.resize(m_stream->total_out);
    return compressed;
}

FrameExpander::FrameExpander()
    : m_stream(makeState<inflateEnd>())
{
    if (inflateInit2(m_stream.get(), WindowBits) != Z_OK)
        throw std::bad_alloc();
}

std::string FrameExpander::expand(std::string_view compressed, std::size_t longest)
{
    inflateReset(m_stream.get());
    m_stream->next_in = bytesOf(compressed);
    m_stream->avail_in = static_cast<uInt>(compressed.size());
    std::string body(std::min(longest, LeastBody + compressed.size() * FirstGrowth), '\0');
    while (true) {
        m_stream->next_out = bytesOf(body) + m_stream->total_out;
        m_stream->avail_out = static_cast<uInt>(body.size() - m_stream->total_out);
        const int result = inflate(m_stream.get(), Z_NO_FLUSH);
        if (result == Z_STREAM_END)
            break;
        const bool isFull = m_stream->avail_out == 0 && body.size() < longest;
        if ((result != Z_OK && result != Z_BUF_ERROR) || !isFull)
            throw MessageError("the body of a frame can't be decompressed");
        body.resize(std::min(longest, body.size() * 2));
    }
    if (m_stream->avail_in != 0)
        throw MessageError("bytes after the compressed body of a frame");
    body.resize(m_stream->total_out);
    return body;
}

} // namespace nutmegtide
