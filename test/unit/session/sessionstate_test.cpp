#include "nutmegtide/session/sessionstate.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

std::vector<ServerCommandKind> kindsOf(const std::vector<ServerCommand> &commands)
{
    std::vector<ServerCommandKind> kinds;
    for (const ServerCommand &command : commands)
        kinds.push_back(command.kind);
    return kinds;
}

using Kinds = std::vector<ServerCommandKind>;

} // namespace

TEST_CASE("a connection is brought to a session's state by as few commands as possible")
{
    SessionState session;
    session.setValue("lang", "es");
    session.prepare("s1", {true, "q2c"});
    const PreparedStatement *prepared = session.findPrepared("s1");
    ServerConnectionState connection;
    CHECK(kindsOf(connection.restore(session, prepared, false))
          == Kinds {ServerCommandKind::SetValue, ServerCommandKind::Prepare});
    CHECK(connection.restore(session, prepared, false).empty());
    CHECK(connection.distance(session, prepared) == 0);

    SessionState other;
    CHECK(kindsOf(connection.restore(other, nullptr, false)) == Kinds {ServerCommandKind::Reset});
    CHECK(connection.distance(session, prepared) == 2);
}

TEST_CASE("values are not cleared inside a transaction")
{
    SessionState session;
    session.setValue("a", "1");
    ServerConnectionState connection;
    connection.restore(session, nullptr, false);
    session.setValue("a", "2");
    const auto commands = connection.restore(session, nullptr, true);
    CHECK(kindsOf(commands) == Kinds {ServerCommandKind::SetValue});
    CHECK(commands.front().argument == "2");
}

TEST_CASE("equal statements of two sessions share a name on the server")
{
    SessionState first;
    first.prepare("a", {false, "q1"});
    SessionState second;
    second.prepare("b", {false, "q1"});
    CHECK(first.findPrepared("a")->serverName() == second.findPrepared("b")->serverName());
    second.prepare("b", {true, "q1"});
    CHECK(first.findPrepared("a")->serverName() != second.findPrepared("b")->serverName());
}
