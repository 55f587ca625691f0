#pragma once

#include "nutmegtide/base/errors.h"

#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace nutmegtide {

// Compresses the bodies of frames, each for itself, with one state that is used again: a state for
// each connection would take a VM's memory, and making one for each frame its processor time.
//
// What callers read and write has few repetitions and a small alphabet, so only the frequencies of
// bytes are used.
//
//   FrameCompressor compressor;
//   const std::string packed = compressor.pack(body);
//   FrameExpander expander;
//   expander.unpack(packed, LongestBody) == body;
class FrameCompressor
{
public:
    FrameCompressor();
    ~FrameCompressor();
    FrameCompressor(const FrameCompressor &) = delete;
    FrameCompressor &operator=(const FrameCompressor &) = delete;

    std::string pack(std::string_view body);

private:
    std::unique_ptr<z_stream_s> m_stream;
};

class FrameExpander
{
public:
    FrameExpander();
    ~FrameExpander();
    FrameExpander(const FrameExpander &) = delete;
    FrameExpander &operator=(const FrameExpander &) = delete;

    // Throws MessageError for bytes that are no packed body, or one longer than that.
    std::string unpack(std::string_view packed, std::size_t longest);

private:
    std::unique_ptr<z_stream_s> m_stream;
};

} // namespace nutmegtide
