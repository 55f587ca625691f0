#include "nutmegtide/session/sessionstate.h"

#include "nutmegtide/base/text.h"

#include <doctest/doctest.h>
#include <set>

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

// Guards against a name with a blank: the server took the rest of it for the shape, and executed
// another statement under the name.
TEST_CASE("a prepared statement's name on servers is one word, and no other statement's")
{
    const char *const shapes[] = {"stock",
                                  "stock READ committed",
                                  "stock ",
                                  " stock",
                                  "",
                                  "select balance",
                                  "73746f636b",
                                  "a\nb",
                                  "a\rb",
                                  "\xff",
                                  "x_73746f636b20",
                                  "x_",
                                  "a\tb"};
    std::set<std::string> names;
    std::size_t count = 0;
    for (const char *const shape : shapes) {
        for (const bool isWrite : {false, true}) {
            const std::string name = PreparedStatement {isWrite, shape}.serverName();
            CAPTURE(name);
            CHECK(isWord(name));
            names.insert(name);
            ++count;
        }
    }
    CHECK(names.size() == count);
    CHECK(PreparedStatement {false, "stock"}.serverName() == "r_stock");
}
