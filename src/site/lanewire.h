#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/proxy/caplender.h"
#include "nutmegtide/proxy/serverpool.h"
#include "peer_types.h"
#include "site/framecompression.h"

#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtide {

// Encodes lane frames, each with a length prefix. Frames that leave the failure domain, where
// traffic is expensive, are compressed if that makes them shorter.
//
//   socket.send(writer.write(frame, FrameWriter::Way::LeavesDomain));
class FrameWriter
{
public:
    enum class Way { StaysInDomain, LeavesDomain };

    std::string write(const wire::LaneFrame &frame, Way way);

private:
    FrameCompressor m_compressor;
};

// What a frame may take beyond its bytes.
struct FrameLimits
{
    std::size_t mostExpansion; // of a compressed body, as a multiple of its bytes
    std::size_t mostListBytes; // memory of the elements of its lists
};

// Splits the byte stream of one connection into frames, however the bytes are fragmented.
//
//   FrameBuffer buffer(FrameBuffer::PeerLimits);
//   buffer.append(bytes);
//   while (const auto frame = buffer.next(expander))
//       handle(*frame);
class FrameBuffer
{
public:
    static constexpr std::size_t LongestFrame = 8 * 1024 * 1024; // bytes
    // FrameCompressor's Huffman codes have at least one bit for a byte, so that its frames expand
    // to at most 8 times their bytes. The lists of a frame of today have some thousand elements.
    static constexpr FrameLimits PeerLimits {16, 4 * LongestFrame};
    static constexpr FrameLimits Unlimited {std::numeric_limits<std::size_t>::max(),
                                            std::numeric_limits<std::size_t>::max()};

    FrameBuffer() = default;
    explicit FrameBuffer(const FrameLimits &limits)
        : m_limits(limits)
    { }

    void append(std::string_view bytes) { m_bytes.append(bytes); }
    // Returns the next complete frame, nothing where none is complete. Throws MessageError.
    std::optional<wire::LaneFrame> next(FrameExpander &expander);
    // Returns the bytes that aren't a complete frame yet.
    std::size_t size() const { return m_bytes.size() - m_start; }
    // Returns the bytes of memory that they take, which may be more.
    std::size_t memory() const { return size() == 0 ? 0 : m_bytes.capacity(); }

private:
    void dropRead();

    FrameLimits m_limits = Unlimited;
    std::string m_bytes;
    std::size_t m_start = 0; // offset of the next frame
};

wire::LaneCommand toWire(const ServerCommand &command);
// Throws MessageError for an unknown kind of command.
ServerCommand fromWire(const wire::LaneCommand &command);
wire::LaneReply toWire(std::uint64_t lane, const ServerReply &reply);
// Throws MessageError for an unknown fault or transaction state.
ServerReply fromWire(const wire::LaneReply &reply);
wire::LoanHistory toWire(const LoanHistory &history);
LoanHistory fromWire(const wire::LoanHistory &history);
// Throws MessageError for an unknown kind of evidence.
ServerEvidence evidenceOf(const wire::LaneEvidence &wireEvidence);

} // namespace nutmegtide
