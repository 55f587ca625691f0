#include "lineprotocol.h"

#include "linebuffer.h"

#include <doctest/doctest.h>
#include <random>

using namespace nutmegtide;
using namespace nutmegtide::platform;

TEST_CASE("lines of callers are parsed")
{
    struct Row
    {
        const char *line;
        StatementKind kind;
        const char *name;
        const char *argument;
    };
    const Row rows[] = {
            {"QUERY q BEGIN", StatementKind::Begin, "", ""},
            {"QUERY q BEGIN READ", StatementKind::BeginReadOnly, "", ""},
            {"QUERY q COMMIT", StatementKind::Commit, "", ""},
            {"QUERY q READ 1a4", StatementKind::Read, "", "1a4"},
            {"QUERY q WRITE 1a4 two words", StatementKind::Write, "", "1a4 two words"},
            {"QUERY q SET name some value", StatementKind::SetValue, "name", "some value"},
            {"QUERY q PREPARE s1 WRITE q2c", StatementKind::Prepare, "s1", "q2c"},
            {"QUERY q EXEC s1 1a4 data", StatementKind::Execute, "s1", "1a4 data"},
            {"QUERY q DEALLOC s1", StatementKind::Deallocate, "s1", ""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.line);
        const auto statement = std::get<SessionStatement>(parseCallerLine(row.line));
        CHECK(statement.request == RequestId("q"));
        CHECK((statement.kind == row.kind));
        CHECK(statement.name == row.name);
        CHECK(statement.argument == row.argument);
    }
}

TEST_CASE("invalid lines are refused")
{
    for (const char *line :
         {"", "HELLO", "START", "QUERY", "QUERY q", "QUERY q DROP x", "QUERY q PREPARE s1 ALL q",
          "QUERY q READ", "QUERY q COMMIT now", "QUERY q SET"}) {
        CAPTURE(line);
        CHECK_THROWS_AS(parseCallerLine(line), LineError);
    }
}

// Guards against text that changes on its way: a server has to receive what the caller sent.
TEST_CASE("a caller's reads and writes reach a server byte for byte, or not at all")
{
    constexpr std::string_view Letters("ab \r\n\0\t\xff-.1", 11);
    constexpr int Rounds = 20'000;
    std::mt19937 random(2027);
    const auto randomText = [&](std::size_t longest) {
        std::string text;
        for (std::size_t left = random() % (longest + 1); left > 0; --left)
            text += Letters[random() % Letters.size()];
        while (text.find("\r\n") != std::string::npos)
            text.erase(text.find("\r\n"), 2);
        return text;
    };
    int passed = 0;
    for (int round = 0; round < Rounds; ++round) {
        const char *const verb = random() % 2 == 0 ? " READ " : " WRITE ";
        const std::string sent = "QUERY " + randomText(4) + verb + randomText(12);
        CAPTURE(sent);
        LineBuffer fromCaller;
        LineBuffer toServer;
        std::vector<std::string> lines;
        const std::string bytes = sent + "\r\n";
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t size = 1 + random() % 5;
            fromCaller.append(std::string_view(bytes).substr(at, size));
            while (const auto line = fromCaller.next())
                lines.push_back(*line);
            at += size;
        }
        REQUIRE(lines == std::vector<std::string> {sent});
        ServerCommand command;
        try {
            const auto statement = std::get<SessionStatement>(parseCallerLine(sent));
            command.kind = statement.kind == StatementKind::Read ? ServerCommandKind::Read
                                                                 : ServerCommandKind::Write;
            command.request = statement.request;
            command.argument = statement.argument;
        } catch (const LineError &) {
            continue;
        }
        ++passed;
        toServer.append(formatCommand(command));
        CHECK(toServer.next() == sent);
        CHECK(toServer.size() == 0);
    }
    CHECK(passed > Rounds / 4);
}

TEST_CASE("commands to servers are formatted")
{
    struct Row
    {
        ServerCommand command;
        const char *line;
    };
    const RequestId id("5c0e");
    const Row rows[] = {
            {{ServerCommandKind::Read, id, LogPosition {3, 1207}, "", "1a4", false, 0},
             "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"},
            {{ServerCommandKind::BeginReadOnly, {}, LogPosition {3, 7}, "", "", false, 0},
             "QUERY - AFTER 3.7 BEGIN READ\r\n"},
            {{ServerCommandKind::Execute, id, {}, "w_q2c", "1a4 x y", true, 0},
             "QUERY 5c0e EXEC w_q2c 1a4 x y\r\n"},
            {{ServerCommandKind::Prepare, {}, {}, "w_q2c", "q2c", true, 0},
             "QUERY - PREPARE w_q2c WRITE q2c\r\n"},
            {{ServerCommandKind::HoldReplication, {}, {}, "", "", false, 4}, "QUERY - PAUSE 4\r\n"},
            {{ServerCommandKind::Demote, {}, {}, "", "", false, 4}, "QUERY - DEMOTE 4\r\n"},
    };
    for (const Row &row : rows)
        CHECK(formatCommand(row.command) == std::string(row.line));
}

TEST_CASE("a server's answer is complete with its last line")
{
    ServerLineReader reader;
    CHECK_FALSE(reader.addLine("ROW qhz"));
    CHECK_FALSE(reader.addLine("DONE 7.1f3"));
    const auto reply = reader.addLine("READY T 3.1209");
    REQUIRE(reply);
    CHECK(reply->rows == std::vector<std::string> {"qhz"});
    CHECK(reply->detail == "7.1f3");
    CHECK((reply->state == TransactionState::Open));
    CHECK(reply->position == LogPosition {3, 1209});
    CHECK_FALSE(reader.addLine("ERR READONLY i-7f3a91c2"));
    CHECK((reader.connectionFault() == StatementFault::ReadOnly));
    CHECK((reader.addLine("READY E -")->fault == StatementFault::ReadOnly));
    CHECK_THROWS_AS(reader.addLine("NOISE"), LineError);
    CHECK_THROWS_AS(reader.addLine("READY X 1.1"), LineError);
    CHECK_THROWS_AS(reader.addLine("READY I 11"), LineError);
}

TEST_CASE("only the answer to the start of a connection may lack a result")
{
    ServerLineReader reader;
    CHECK(reader.addLine("READY I 3.1207"));
    reader.addLine("DONE -");
    const auto reply = reader.addLine("READY I 3.1207");
    REQUIRE(reply);
    CHECK(reply->detail.empty());
    reader.addLine("ROW qhz");
    CHECK_THROWS_AS(reader.addLine("READY I 3.1207"), LineError);
}

TEST_CASE("the start of a connection names the expected server, and a refusal carries a fault")
{
    ServerAnnouncement server;
    server.service = ServiceName("huvo11a");
    server.server = ServerId("i-7f3a91c2");
    CHECK(formatHello(server, "front-1") == "START huvo11a front-1 i-7f3a91c2\r\n");
    ServerLineReader reader;
    reader.addLine("ERR MISROUTED other");
    CHECK((reader.connectionFault() == StatementFault::Misrouted));
}

TEST_CASE("an unknown error code is treated as a failure that may have been executed")
{
    ServerLineReader reader;
    reader.addLine("ERR NEWCODE what");
    CHECK((reader.addLine("READY I -")->fault == StatementFault::Failed));
}

TEST_CASE("a server's status row is parsed")
{
    ServerReply reply;
    reply.rows = {"replica 3 3.1209 4 12 2 17"};
    const ServerReplicationStatus status = parseReplicationStatus(reply);
    CHECK_FALSE(status.isPrimary);
    CHECK(status.term == 3);
    CHECK(status.received == LogPosition {3, 1209});
    CHECK(status.heldTerm == 4);
    CHECK(status.connections == 17);
    reply.rows = {"replica x"};
    CHECK_THROWS_AS(parseReplicationStatus(reply), LineError);
}

TEST_CASE("answers to callers are formatted")
{
    CHECK(formatAnswer({{"a", "b c"}, {}, "7.1", TransactionState::Idle, LogPosition {3, 9}})
          == "ROW a\r\nROW b c\r\nDONE 7.1\r\nREADY I 3.9\r\n");
    CHECK(formatAnswer({{}, StatementFault::OutcomeUnknown, "", TransactionState::Idle, {}})
          == "ERR INDOUBT -\r\nREADY I -\r\n");
    CHECK(formatAnswer({{}, {}, "", TransactionState::Open, {}}) == "DONE -\r\nREADY T -\r\n");
}

TEST_CASE("random bytes cause no exception but LineError in the parsers")
{
    std::mt19937 generator(20261204);
    const std::string words[] = {"START", "QUERY", "READ",  "BEGIN", "ROW", "DONE",
                                 "ERR",   "READY", "3.120", "-",     " ",   "\t"};
    for (int round = 0; round < 20'000; ++round) {
        std::string line;
        for (unsigned part = generator() % 6; part > 0; --part) {
            if (generator() % 3 == 0)
                line += static_cast<char>(generator() % 256);
            else
                line += words[generator() % std::size(words)] + (generator() % 2 ? " " : "");
        }
        try {
            parseCallerLine(line);
        } catch (const LineError &) {
            // Any other exception fails the test.
        }
        try {
            ServerLineReader reader;
            reader.addLine(line);
        } catch (const LineError &) {
            // Any other exception fails the test.
        }
    }
}
