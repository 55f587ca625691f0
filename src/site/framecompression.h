#pragma once

#include "nutmegtide/base/errors.h"

#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace nutmegtide {

// A zlib stream with the function that frees it.
using ZlibStream = std::unique_ptr<z_stream_s, void (*)(z_stream_s *)>;

// Compresses the body of each frame independently with one reused zlib stream. A stream for each
// connection would cost too much memory, and a new one for each frame too much processor time.
//
// Callers' data has few repetitions and a small alphabet, so only Huffman coding is used.
//
//   FrameCompressor compressor;
//   const std::string compressed = compressor.compress(body);
//   FrameExpander expander;
//   expander.expand(compressed, LongestBody) == body;
class FrameCompressor
{
public:
    FrameCompressor();

    std::string compress(std::string_view body);

private:
    ZlibStream m_stream;
};

// Expands the bodies that FrameCompressor wrote.
class FrameExpander
{
public:
    FrameExpander();

    // Throws MessageError where the bytes are no compressed body, or expand to more than `longest`
    // bytes.
    std::string expand(std::string_view compressed, std::size_t longest);

private:
    ZlibStream m_stream;
};

} // namespace nutmegtide
