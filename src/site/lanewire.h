#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/proxy/serverpool.h"
#include "peer_types.h"
#include "site/framecompression.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmegtide {

// Writes frames with their lengths before them. Those that leave the failure domain, where bytes
// are dear, are packed if that makes them shorter.
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

// Cuts the frames out of the bytes of one connection, whatever the pieces they come in.
//
//   buffer.append(bytes);
//   while (const auto frame = buffer.next(expander))
//       handle(*frame);
class FrameBuffer
{
public:
    static constexpr std::size_t LongestFrame = 8 * 1024 * 1024; // bytes

    void append(std::string_view bytes) { m_bytes.append(bytes); }
    // Returns the next whole frame. Throws MessageError.
    std::optional<wire::LaneFrame> next(FrameExpander &expander);

private:
    std::string m_bytes;
    std::size_t m_start = 0; // of the next frame
};

wire::LaneCommand toWire(const ServerCommand &command);
// Throws MessageError for a kind that isn't known.
ServerCommand fromWire(const wire::LaneCommand &command);
wire::LaneReply toWire(std::uint64_t lane, const ServerReply &reply);
// Throws MessageError for a fault or a state that isn't known.
ServerReply fromWire(const wire::LaneReply &reply);
// Throws MessageError for an evidence that isn't known.
ServerEvidence evidenceOf(const wire::LaneEvidence &wireEvidence);

} // namespace nutmegtide
