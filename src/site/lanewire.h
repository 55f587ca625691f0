#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/proxy/caplender.h"
#include "nutmegtide/proxy/serverpool.h"
#include "peer_types.h"
#include "site/framecompression.h"

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

// Splits the byte stream of one connection into frames, however the bytes are fragmented.
//
//   buffer.append(bytes);
//   while (const auto frame = buffer.next(expander))
//       handle(*frame);
class FrameBuffer
{
public:
    static constexpr std::size_t LongestFrame = 8 * 1024 * 1024; // bytes

    void append(std::string_view bytes) { m_bytes.append(bytes); }
    // Returns the next complete frame, nothing where none is complete. Throws MessageError.
    std::optional<wire::LaneFrame> next(FrameExpander &expander);

private:
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
