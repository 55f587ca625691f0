#pragma once

#include "nutmegtide/base/errors.h"

#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace nutmegtide {

// A state of zlib with the function that ends it.
using ZlibStream = std::unique_ptr<z_stream_s, void (*)(z_stream_s *)>;

// Compresses the bodies of frames, each for itself, with one state that is used again: a state for
// each connection would take a VM's memory, and making one for each frame its processor time.
//
// What callers read and write has few repetitions and a small alphabet, so only the frequencies of
// bytes are used.
//
//   FrameCompressor compressor;
//   const std::string packed = compressor.compress(body);
//   FrameExpander expander;
//   expander.expand(packed, LongestBody) == body;
class FrameCompressor
{
public:
    FrameCompressor();

    std::string compress(std::string_view body);

private:
    ZlibStream m_stream;
};

class FrameExpander
{
public:
    FrameExpander();

    // Throws MessageError for bytes that are no packed body, or one longer than that.
    std::string expand(std::string_view compressed, std::size_t longest);

private:
    ZlibStream m_stream;
};

} // namespace nutmegtide
