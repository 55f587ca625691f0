#include "site/lanewire.h"

#include "serve/boundedlists.h"
#include "serve/wireconvert.h"

#include <algorithm>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace nutmegtide {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t LengthSize = 4; // bytes
constexpr int BitsPerByte = 8;
constexpr auto LastKind = ServerCommandKind::Reset; // later kinds are sent by control VMs only
constexpr auto LastFault = StatementFault::OverCap;
constexpr auto LastState = TransactionState::Failed;
constexpr auto LastEvidence = ServerEvidence::WrongAddress;

constexpr Duration MinReportedWait = 1ms; // a shorter one isn't worth its bytes
constexpr Duration MaxReportedWait = 10s;

constexpr std::size_t CompressedFlag = 0x80000000; // flag in the length: the body is compressed
constexpr std::size_t MinCompressedBody = 128; // bytes; compressing a shorter body saves nothing

constexpr std::size_t KeptCapacity = 4'096; // bytes of a buffer that needs fewer

constexpr std::size_t LargestStruct = std::max(
        {sizeof(wire::LaneRequest), sizeof(wire::LaneCommand), sizeof(wire::LaneReply),
         sizeof(wire::LaneEvidence), sizeof(wire::LoanRequest), sizeof(wire::LoanHistory),
         sizeof(wire::Loan)});

wire::LaneFrame readFrame(std::string_view body, std::size_t mostListBytes)
{
    // The protocol reads the body where it is.
    auto *bytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(body.data()));
    const auto memory = std::make_shared<TMemoryBuffer>(bytes,
                                                        static_cast<std::uint32_t>(body.size()));
    BoundedLists<TCompactProtocol> protocol({mostListBytes, LargestStruct}, memory);
    wire::LaneFrame frame;
    try {
        frame.read(&protocol);
    } catch (const apache::thrift::TException &fault) {
        throw MessageError(std::string("unreadable lane frame: ") + fault.what());
    }
    return frame;
}

template <typename Enum>
Enum checked(std::int32_t value, Enum last, const char *what)
{
    if (value < 0 || value > static_cast<std::int32_t>(last))
        throw MessageError("unknown " + std::string(what) + ": " + std::to_string(value));
    return static_cast<Enum>(value);
}

} // namespace

std::string FrameWriter::write(const wire::LaneFrame &frame, Way way)
{
    const auto memory = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(memory);
    frame.write(&protocol);
    std::string body = memory->getBufferAsString();
    std::size_t head = 0;
    if (way == Way::LeavesDomain && body.size() >= MinCompressedBody) {
        std::string compressed = m_compressor.compress(body);
        if (compressed.size() < body.size()) {
            body = std::move(compressed);
            head = CompressedFlag;
        }
    }
    head |= body.size();
    std::string bytes;
    bytes.reserve(body.size() + LengthSize);
    for (std::size_t i = LengthSize; i-- > 0;)
        bytes.push_back(static_cast<char>(head >> (i * BitsPerByte)));
    return bytes + body;
}

std::optional<wire::LaneFrame> FrameBuffer::next(FrameExpander &expander)
{
    std::size_t head = 0;
    for (std::size_t i = 0; i < LengthSize && size() >= LengthSize; ++i)
        head = (head << BitsPerByte) | static_cast<unsigned char>(m_bytes[m_start + i]);
    const std::size_t length = head & ~CompressedFlag;
    if (length > LongestFrame)
        throw MessageError("lane frame of " + std::to_string(length) + " bytes is too long");
    if (size() < LengthSize + length) {
        dropRead();
        return std::nullopt;
    }
    const std::string_view body(m_bytes.data() + m_start + LengthSize, length);
    m_start += LengthSize + length;
    if ((head & CompressedFlag) == 0)
        return readFrame(body, m_limits.mostListBytes);
    const bool isLongAllowed = length > LongestFrame / m_limits.mostExpansion;
    const std::size_t longest = isLongAllowed ? LongestFrame : length * m_limits.mostExpansion;
    return readFrame(expander.expand(body, longest), m_limits.mostListBytes);
}

// Keeps little memory between frames, since there may be thousands of connections.
void FrameBuffer::dropRead()
{
    if (m_start == 0)
        return;
    if (m_bytes.capacity() > KeptCapacity)
        m_bytes.substr(m_start).swap(m_bytes); // an assignment would keep the memory
    else
        m_bytes.erase(0, m_start);
    m_start = 0;
}

wire::LaneCommand toWire(const ServerCommand &command)
{
    wire::LaneCommand result;
    // An older version takes the request for a status as the begin, which harms nothing.
    const bool asksStatus = command.kind == ServerCommandKind::Status;
    result.kind = static_cast<std::int32_t>(asksStatus ? ServerCommandKind::BeginReadOnly
                                                       : command.kind);
    if (asksStatus)
        result.__set_asksStatus(true);
    result.requestId = command.request.text();
    if (command.after)
        result.__set_after(toWire(*command.after));
    result.name = command.name;
    result.argument = command.argument;
    result.preparesWrite = command.preparesWrite;
    return result;
}

ServerCommand fromWire(const wire::LaneCommand &command)
{
    ServerCommand result;
    result.kind = checked(command.kind, LastKind, "command");
    if (result.kind == ServerCommandKind::BeginReadOnly && command.asksStatus)
        result.kind = ServerCommandKind::Status;
    result.request = RequestId(command.requestId);
    if (command.__isset.after)
        result.after = fromWire(command.after);
    result.name = command.name;
    result.argument = command.argument;
    result.preparesWrite = command.preparesWrite;
    return result;
}

wire::LaneReply toWire(std::uint64_t lane, const ServerReply &reply)
{
    wire::LaneReply result;
    result.lane = static_cast<std::int64_t>(lane);
    result.rows = reply.rows;
    result.fault = reply.fault ? static_cast<std::int32_t>(*reply.fault) + 1 : 0;
    result.detail = reply.detail;
    result.state = static_cast<std::int32_t>(reply.state);
    if (reply.position)
        result.__set_position(toWire(*reply.position));
    result.ranMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(reply.ran).count();
    if (reply.wait >= MinReportedWait) {
        const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
                std::min(reply.wait, MaxReportedWait));
        result.__set_waitMicroseconds(static_cast<std::int32_t>(wait.count()));
    }
    if (!reply.isVouched)
        result.__set_isUnvouched(true);
    return result;
}

ServerReply fromWire(const wire::LaneReply &reply)
{
    ServerReply result;
    result.rows = reply.rows;
    if (reply.fault != 0)
        result.fault = checked(reply.fault - 1, LastFault, "fault");
    result.detail = reply.detail;
    result.state = checked(reply.state, LastState, "state");
    if (reply.__isset.position)
        result.position = fromWire(reply.position);
    result.ran = std::chrono::microseconds(reply.ranMicroseconds);
    // ServerPool ignores an impossible value.
    if (reply.__isset.waitMicroseconds)
        result.wait = std::chrono::microseconds(reply.waitMicroseconds);
    result.isVouched = !reply.isUnvouched;
    return result;
}

wire::LoanHistory toWire(const LoanHistory &history)
{
    wire::LoanHistory result;
    result.lender = history.lender;
    result.lent.assign(history.lent.begin(), history.lent.end());
    result.ageMilliseconds = static_cast<std::int32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(history.age).count());
    return result;
}

LoanHistory fromWire(const wire::LoanHistory &history)
{
    LoanHistory result;
    result.lender = history.lender;
    result.lent.assign(history.lent.begin(), history.lent.end());
    result.age = std::chrono::milliseconds(std::max(0, history.ageMilliseconds));
    return result;
}

ServerEvidence evidenceOf(const wire::LaneEvidence &wireEvidence)
{
    return checked(wireEvidence.evidence, LastEvidence, "evidence");
}

} // namespace nutmegtide
