#pragma once

#include "nutmegtide/session/sessionstatement.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegtide {

// A prepared statement. Its name on servers is derived from its content, so that sessions that
// prepared equal statements under different names share one.
struct PreparedStatement
{
    bool isWrite = false;
    std::string shape; // the statement's content, as the caller gave it

    // The name of the statement on servers: one word, which no other statement has.
    std::string serverName() const;
    auto operator<=>(const PreparedStatement &) const = default;
};

// The values and prepared statements that a caller has set on its session.
class SessionState
{
public:
    void setValue(const std::string &name, const std::string &value) { m_values[name] = value; }
    void prepare(const std::string &name, PreparedStatement statement);
    // Removes a prepared statement. Returns false for a name that isn't prepared.
    bool deallocate(const std::string &name) { return m_prepared.erase(name) != 0; }
    // Returns null for a name that isn't prepared.
    const PreparedStatement *findPrepared(const std::string &name) const;
    const std::map<std::string, std::string> &values() const { return m_values; }
    // Returns about how many bytes the values and statements take.
    std::size_t memory() const;

private:
    std::map<std::string, std::string> m_values;
    std::map<std::string, PreparedStatement> m_prepared; // by the caller's name
};

// The session values and prepared statements that a connection to a server currently holds, left
// by the sessions that used it.
//
// Before a session's statement runs on a shared connection, restore() returns the commands to send
// first, so that exactly the session's values are set there:
//
//   for (const ServerCommand &command : connection.restore(session, prepared, isInTransaction))
//       send(command);
class ServerConnectionState
{
public:
    // Returns the commands that bring this connection to the session's state, and assumes that
    // they succeed. `prepared` is the statement to be executed next, null for none. Values of other
    // sessions are cleared, except inside a transaction, where there can't be any.
    std::vector<ServerCommand> restore(const SessionState &session,
                                       const PreparedStatement *prepared, bool isInTransaction);
    // Returns how many commands restore() would return outside a transaction.
    std::size_t distance(const SessionState &session, const PreparedStatement *prepared) const;
    // Called when the server reports that it lacks a prepared statement that is recorded here.
    void forgetPrepared() { m_prepared.clear(); }

private:
    bool hasOtherSessionsValue(const SessionState &session) const;

    std::map<std::string, std::string> m_values;
    std::map<std::string, PreparedStatement> m_prepared; // by the name on the server
};

} // namespace nutmegtide
