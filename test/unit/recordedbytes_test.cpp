// Guards what other processes and later versions read: bytes that an earlier version wrote are
// read, and written again byte for byte. A change of a name in the code must not reach them.
#include "control/logrecords.h"
#include "nutmegtide/control/configledger.h"
#include "nutmegtide/events/event.h"
#include "nutmegtide/failover/groupledger.h"
#include "nutmegtide/failover/serverroster.h"
#include "nutmegtide/power/powerledger.h"
#include "nutmegtide/statement/sessiontoken.h"
#include "serve/gossipwire.h"
#include "serve/raftwire.h"
#include "site/lanewire.h"
#include "site/sitewire.h"

#include <doctest/doctest.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace nutmegtide;

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

std::string hexOf(const std::string &bytes)
{
    constexpr const char *Digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : bytes) {
        hex.push_back(Digits[byte / 16]);
        hex.push_back(Digits[byte % 16]);
    }
    return hex;
}

std::string bytesOf(const std::string &hex)
{
    std::string bytes;
    for (std::size_t i = 0; i < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return bytes;
}

template <typename Struct>
std::string written(const Struct &message)
{
    const auto memory = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(memory);
    message.write(&protocol);
    return memory->getBufferAsString();
}

template <typename Struct>
Struct readBack(const std::string &bytes)
{
    const auto memory = std::make_shared<TMemoryBuffer>();
    memory->write(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                  static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocol protocol(memory);
    Struct message;
    message.read(&protocol);
    return message;
}

const Members ThreeMembers = {{VmName("c1"), "f1"}, {VmName("c2"), ""}, {VmName("c3"), "f3"}};
const LogSnapshot Snapshot = {9, 4, ThreeMembers, "state"};
const VoteRecord Vote = {5, VmName("c2")};

std::vector<LogEntry> entriesOfAllKinds()
{
    return {{4, 10, EntryKind::Barrier, ""},
            {4, 11, EntryKind::Config, "config"},
            {4, 12, EntryKind::Group, "group"},
            {5, 13, EntryKind::Power, "power"},
            {5, 14, EntryKind::Members, encodeMembers(ThreeMembers)}};
}

std::string writtenLog(const std::string &folder, const LogSnapshot &snapshot,
                       const VoteRecord &vote, const std::vector<LogEntry> &entries)
{
    std::string bytes = folderRecord(folder) + snapshotRecord(snapshot) + voteRecord(vote);
    for (const LogEntry &entry : entries)
        bytes += entryRecord(entry);
    return bytes + truncateRecord(14) + entryRecord(entries.back());
}

std::string logWrittenAgain(const std::string &bytes)
{
    const StoredLog log = readRecords(bytes);
    CHECK(log.entries == entriesOfAllKinds());
    return writtenLog(log.folder, log.snapshot, log.vote, log.entries);
}

ConfigSubmission submission()
{
    return {ChangeId("change-1"), 4, "[routes]\n", "ana"};
}

ConfigLedger decidedLedger()
{
    ConfigLedger ledger;
    ledger.apply(1, encode(ConfigSubmission {ChangeId("change-0"), 0, "a = 1\n", "ana"}));
    ledger.apply(2, encode(submission()));
    ledger.apply(3, encode(ConfigSubmission {ChangeId("change-2"), 0, "a = 2\n", ""}));
    return ledger;
}

GroupCommand groupCommand(GroupCommandKind kind, Term term)
{
    return {kind,   DatabaseName("casks"), term,
            "c1-4", ServerId("s2"),        {ServerId("s1"), ServerId("s2")}};
}

GroupLedger filledGroupLedger()
{
    GroupLedger ledger;
    ledger.apply(1, encode(groupCommand(GroupCommandKind::Adopt, 3)));
    ledger.apply(2, encode(groupCommand(GroupCommandKind::Reserve, 4)));
    ledger.apply(3, encode(groupCommand(GroupCommandKind::Publish, 4)));
    ledger.apply(4, encode(groupCommand(GroupCommandKind::Reserve, 7)));
    return ledger;
}

ServerAnnouncement announcement()
{
    return {ServerId("i-1"),
            ServiceName("casks"),
            {"10.0.0.1", 70},
            FailureDomain("a"),
            3,
            true,
            true,
            1767225600000,
            7};
}

std::string rosterOfOne()
{
    return ServerRoster::encode(ServiceName("casks"), {{ServerId("i-1"), announcement()}});
}

std::string rosterSnapshot()
{
    ServerRoster roster;
    roster.apply(1, rosterOfOne());
    roster.apply(2, ServerRoster::encodeOrder(ServiceName("casks"), ServerId("i-1")));
    roster.apply(3, ServerRoster::encodeOrder(ServiceName("vats"), ServerId("i-2")));
    roster.apply(4, ServerRoster::encodeOrdersClosed(ServiceName("vats")));
    return roster.snapshot();
}

std::vector<SpareRecord> spares()
{
    return {{VmName("vm9"), "ordering_on", DatabaseName("casks"), OrderId("4-1-vm9")}};
}

Event event()
{
    Event event;
    event.time = {1767225600000000, 3};
    event.vm = VmName("b1");
    event.failureDomain = FailureDomain("b");
    event.kind = EventKind::PrimarySuspected;
    event.database = DatabaseName("casks");
    event.term = 4;
    event.request = RequestId("r-1");
    event.id = EventId("b1-17-3");
    event.cause = EventId("a1-16-9");
    event.details = {{"server", "s1"}};
    return event;
}

std::string allEventNames()
{
    std::string names;
    for (const EventKind kind : allEventKinds())
        names += std::string(toString(kind)) + ' ';
    return names;
}

SessionToken token()
{
    SessionToken token;
    token.advance(DatabaseName("casks"), {4, 1207});
    token.markUnknown(DatabaseName("vats"), RequestId("r-7"));
    return token;
}

RaftMessage raftMessage()
{
    RaftMessage message;
    message.kind = RaftMessageKind::Append;
    message.sender = VmName("c1");
    message.receiver = VmName("c2");
    message.folder = "f1";
    message.term = 5;
    message.lastIndex = 9;
    message.lastTerm = 4;
    message.commit = 8;
    message.isGranted = true;
    message.entries = entriesOfAllKinds();
    message.snapshot = Snapshot;
    return message;
}

std::string gossipBytes()
{
    GossipMessage message;
    message.sender = {VmName("a1"),
                      FailureDomain("a"),
                      {"10.0.0.1", 70},
                      {"10.0.0.1", 71},
                      17,
                      3,
                      MemberState::Suspect,
                      true,
                      true,
                      12};
    message.updates = {message.sender};
    message.updates.front().state = MemberState::Left;
    message.probeTarget = VmName("b1");
    message.wantsPage = true;
    message.pageAfter = VmName("a2");
    message.digest = 99;
    return written(toWire(message));
}

std::string recordBytes()
{
    ServerRecord record;
    record.announcement = announcement();
    record.isGone = true;
    record.confirmedTerm = 4;
    const TimePoint now = TimePoint() + 1h;
    record.leavingSince = now - 250ms;
    return written(toWire(record, now));
}

std::string commandBytes()
{
    std::string bytes;
    for (int kind = 0; kind <= static_cast<int>(ServerCommandKind::Reset); ++kind) {
        ServerCommand command;
        command.kind = static_cast<ServerCommandKind>(kind);
        command.request = RequestId("q1");
        command.after = LogPosition {3, 1207};
        command.name = "r_q2c";
        command.argument = "1a4";
        command.preparesWrite = true;
        bytes += written(toWire(command));
    }
    return bytes;
}

std::string replyBytes()
{
    ServerReply reply;
    reply.rows = {"row"};
    reply.fault = StatementFault::Lagging;
    reply.detail = "7.1f3";
    reply.state = TransactionState::Failed;
    reply.position = LogPosition {3, 1208};
    reply.ran = 18ms;
    return written(toWire(7, reply));
}

struct Row
{
    const char *what;
    std::string bytes; // written by this version
    std::string (*again)(const std::string &recorded); // read, and written again
    std::string recorded; // in hexadecimal, by an earlier version
};

std::vector<Row> rows()
{
    return {
            {"control log", writtenLog("f1", Snapshot, Vote, entriesOfAllKinds()), logWrittenAgain,
             "0a000000010000001b9cbfe8c942bf0c02000000000000006631cc835f8e4ed704bda5720000"
             "00020000006deeba409809ce2f090000000000000004000000000000004d000000000000005b"
             "7b22666f6c646572223a226631222c22766d223a226331227d2c7b22666f6c646572223a2222"
             "2c22766d223a226332227d2c7b22666f6c646572223a226633222c22766d223a226333227d5d"
             "050000000000000073746174659c78dd2635cf895fa512000000030000004e37516a4bb64560"
             "0500000000000000020000000000000063328f26c453ef38ba8ba51c00000004000000426ec0"
             "4084954f0304000000000000000a00000000000000000000000000000000000000e1ac6c1c87"
             "42e06aa5220000000400000024080b2c146807f404000000000000000b000000000000000100"
             "00000600000000000000636f6e6669672a5ca63588a11234a52100000004000000d7e74e485b"
             "70a39804000000000000000c0000000000000002000000050000000000000067726f75707611"
             "6cf64afb19eaa52100000004000000d7e74e485b70a39805000000000000000d000000000000"
             "00030000000500000000000000706f7765728cbb784625b86c5ca56900000004000000dc8b79"
             "ffae8f542605000000000000000e00000000000000640000004d000000000000005b7b22666f"
             "6c646572223a226631222c22766d223a226331227d2c7b22666f6c646572223a22222c22766d"
             "223a226332227d2c7b22666f6c646572223a226633222c22766d223a226333227d5da08a0109"
             "48a7dc8fa5080000000500000017f97fc04e1e43210e00000000000000d8f9679aa722633aa5"
             "6900000004000000dc8b79ffae8f542605000000000000000e00000000000000640000004d00"
             "0000000000005b7b22666f6c646572223a226631222c22766d223a226331227d2c7b22666f6c"
             "646572223a22222c22766d223a226332227d2c7b22666f6c646572223a226633222c22766d22"
             "3a226333227d5da08a010948a7dc8fa5"},
            {"members", encodeMembers(ThreeMembers),
             [](const std::string &recorded) { return encodeMembers(decodeMembers(recorded)); },
             "5b7b22666f6c646572223a226631222c22766d223a226331227d2c7b22666f6c646572223a22"
             "222c22766d223a226332227d2c7b22666f6c646572223a226633222c22766d223a226333227d"
             "5d"},
            {"submission", encode(submission()),
             [](const std::string &recorded) { return encode(decodeSubmission(recorded)); },
             "7b2262617365223a342c226368616e67655f6964223a226368616e67652d31222c226f706572"
             "61746f72223a22616e61222c22746f6d6c223a225b726f757465735d5c6e227d"},
            {"snapshot of the configuration ledger", decidedLedger().snapshot(),
             [](const std::string &recorded) {
                 ConfigLedger ledger;
                 ledger.restore(recorded);
                 return ledger.snapshot();
             },
             "7b226368616e67655f6964223a226368616e67652d30222c226465636973696f6e73223a5b5b"
             "226368616e67652d30222c323430343839343639303732393834333939302c747275652c312c"
             "22225d2c5b226368616e67652d31222c31343234313733303938333035353739383339352c66"
             "616c73652c312c226368616e67652d30225d2c5b226368616e67652d32222c32343633373634"
             "3032343039333031383433302c66616c73652c312c226368616e67652d30225d5d2c22726576"
             "6973696f6e223a312c22746f6d6c223a2261203d20315c6e227d"},
            {"group command", encode(groupCommand(GroupCommandKind::Publish, 4)),
             [](const std::string &recorded) { return encode(decodeGroupCommand(recorded)); },
             "7b226461746162617365223a226361736b73222c226b696e64223a227075626c697368222c22"
             "6f776e6572223a2263312d34222c227072696d617279223a227332222c227465726d223a342c"
             "22766f74657273223a5b227331222c227332225d7d"},
            {"snapshot of the group ledger", filledGroupLedger().snapshot(),
             [](const std::string &recorded) {
                 GroupLedger ledger;
                 ledger.restore(recorded);
                 return ledger.snapshot();
             },
             "7b226361736b73223a7b22617474656d7074223a372c226f776e6572223a2263312d34222c22"
             "70656e64696e67223a5b5d2c227072696d617279223a227332222c227465726d223a342c2276"
             "6f74657273223a5b227331222c227332225d7d7d"},
            {"servers of a service", rosterOfOne(),
             [](const std::string &recorded) {
                 ServerRoster roster;
                 roster.apply(1, recorded);
                 return ServerRoster::encode(ServiceName("casks"),
                                             roster.announcementsOf(ServiceName("casks")));
             },
             "7b22726f737465725f6f66223a226361736b73222c2273657276657273223a5b7b2261646472"
             "657373223a2231302e302e302e313a3730222c22646f6d61696e223a2261222c226c65617669"
             "6e67223a747275652c226c69666574696d65223a313736373232353630303030302c22707269"
             "6d617279223a747275652c2273657175656e6365223a372c22736572766572223a22692d3122"
             "2c22736c6f7473223a337d5d7d"},
            {"snapshot of the servers", rosterSnapshot(),
             [](const std::string &recorded) {
                 ServerRoster roster;
                 roster.restore(recorded);
                 return roster.snapshot();
             },
             "7b226f7264657273223a7b226361736b73223a5b22692d31225d7d2c22736572766963657322"
             "3a7b226361736b73223a5b7b2261646472657373223a2231302e302e302e313a3730222c2264"
             "6f6d61696e223a2261222c226c656176696e67223a747275652c226c69666574696d65223a31"
             "3736373232353630303030302c227072696d617279223a747275652c2273657175656e636522"
             "3a372c22736572766572223a22692d31222c22736c6f7473223a337d5d7d7d"},
            {"spare VMs", encodeSpares(spares()),
             [](const std::string &recorded) { return encodeSpares(decodeSpares(recorded)); },
             "5b7b226461746162617365223a226361736b73222c226f72646572223a22342d312d766d3922"
             "2c227374617465223a226f72646572696e675f6f6e222c22766d223a22766d39227d5d"},
            {"event", toJson(event()),
             [](const std::string &recorded) { return toJson(eventFromJson(recorded)); },
             "7b226361757365223a2261312d31362d39222c226461746162617365223a226361736b73222c"
             "2264657461696c73223a7b22736572766572223a227331227d2c226661696c7572655f646f6d"
             "61696e223a2262222c226964223a2262312d31372d33222c226b696e64223a227072696d6172"
             "795f737573706563746564222c226c6f676963616c223a332c22706879736963616c5f757322"
             "3a313736373232353630303030303030302c22726571756573745f6964223a22722d31222c22"
             "7465726d223a342c22766d223a226231227d"},
            {"names of the events", allEventNames(),
             [](const std::string &recorded) { return recorded; },
             "6e6f64655f73746172746564206e6f64655f647261696e696e67206e6f64655f73746f707065"
             "64207365727665725f616e6e6f756e636564207365727665725f6c6f7374207365727665725f"
             "6c656176696e67207072696d6172795f737573706563746564207072696d6172795f6368616e"
             "67655f737461727465642067726f75705f66656e636564207072696d6172795f63686f73656e"
             "207072696d6172795f70726f6d6f746564207072696d6172795f7075626c6973686564207072"
             "696d6172795f6368616e67655f6661696c65642077726974655f756e6b6e6f776e2073746174"
             "656d656e745f72656675736564207472616e73616374696f6e5f6c6f737420636f6e6669675f"
             "616363657074656420636f6e6669675f696e5f666f72636520636f6e6669675f636f6e666c69"
             "6374206d656d6265725f6a6f696e6564206d656d6265725f737573706563746564206d656d62"
             "65725f6465616420636f6e74726f6c5f6c656164657220636f6e74726f6c5f73746570706564"
             "5f646f776e20736e617073686f745f74616b656e206c6f675f7265636f766572656420706f77"
             "65725f6f72646572656420706f7765725f636f6e6669726d65642063686172745f7472616e73"
             "6974696f6e20686f6d655f6368616e67656420636f6e6e656374696f6e5f636c6f736564206f"
             "7468657220"},
            {"session token", token().encode(),
             [](const std::string &recorded) { return SessionToken::decode(recorded).encode(); },
             "4151566a59584e726377533343514145646d463063774141413349744e5f57516f736746676f"
             "7258"},
            {"message of the control log", written(toWire(raftMessage())),
             [](const std::string &recorded) {
                 return written(toWire(fromWire(readBack<wire::RaftMessage>(recorded))));
             },
             "150a1802633118026332160a16121608161011195c1608161415001800001608161615021806"
             "636f6e66696700160816181504180567726f757000160a161a15061805706f77657200160a16"
             "1c15c801184d5b7b22666f6c646572223a226631222c22766d223a226331227d2c7b22666f6c"
             "646572223a22222c22766d223a226332227d2c7b22666f6c646572223a226633222c22766d22"
             "3a226333227d5d001800190816001802663100"},
            {"gossip", gossipBytes(),
             [](const std::string &recorded) {
                 return written(toWire(fromWire(readBack<wire::Gossip>(recorded))));
             },
             "192c18026131180161180b31302e302e302e313a37301622150411111618180b31302e302e30"
             "2e313a373116060018026131180161180b31302e302e302e313a37301622150811111618180b"
             "31302e302e302e313a373116060018026231111802613216c60100"},
            {"server record", recordBytes(),
             [](const std::string &recorded) {
                 const TimePoint now = TimePoint() + 2h;
                 return written(toWire(fromWire(readBack<wire::ServerRecord>(recorded), now), now));
             },
             "1803692d3118056361736b73180b31302e302e302e313a3730180161150611111680a0d5edee"
             "66160e11160816f40300"},
            {"commands of a lane, one of each kind", commandBytes(),
             [](const std::string &recorded) {
                 const auto memory = std::make_shared<TMemoryBuffer>();
                 memory->write(reinterpret_cast<const std::uint8_t *>(recorded.data()),
                               static_cast<std::uint32_t>(recorded.size()));
                 TCompactProtocol protocol(memory);
                 std::string bytes;
                 while (memory->available_read() > 0) {
                     wire::LaneCommand command;
                     command.read(&protocol);
                     bytes += written(toWire(fromWire(command)));
                 }
                 return bytes;
             },
             "1500180271311c160616ee12001805725f713263180331613411001502180271311c160616ee"
             "12001805725f713263180331613411001504180271311c160616ee12001805725f7132631803"
             "31613411001506180271311c160616ee12001805725f71326318033161341100150818027131"
             "1c160616ee12001805725f71326318033161341100150a180271311c160616ee12001805725f"
             "71326318033161341100150c180271311c160616ee12001805725f7132631803316134110015"
             "0e180271311c160616ee12001805725f713263180331613411001510180271311c160616ee12"
             "001805725f713263180331613411001512180271311c160616ee12001805725f713263180331"
             "61341100"},
            {"reply of a lane", replyBytes(),
             [](const std::string &recorded) {
                 return written(toWire(7, fromWire(readBack<wire::LaneReply>(recorded))));
             },
             "160e191803726f7715061805372e31663315041c160616f012001216a0990200"},
    };
}

} // namespace

TEST_CASE("bytes that an earlier version stored or sent are read, and written again as they were")
{
    for (const Row &row : rows()) {
        CAPTURE(row.what);
        CHECK(hexOf(row.bytes) == row.recorded);
        CHECK(hexOf(row.again(bytesOf(row.recorded))) == row.recorded);
    }
}
