#pragma once

#include "nutmegtide/session/sessionstatement.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegtide {

// A prepared statement. On servers it goes by a name that follows from its content, so that
// sessions with equal statements under different names share it.
struct PreparedStatement
{
    bool isWrite = false;
    std::string shape;

    // The name on servers.
    std::string serverName() const { return (isWrite ? "w_" : "r_") + shape; }
    auto operator<=>(const PreparedStatement &) const = default;
};

// The values and prepared statements of a caller's session.
class SessionState
{
public:
    void setValue(const std::string &name, const std::string &value) { m_values[name] = value; }
    void prepare(const std::string &name, PreparedStatement statement);
    // Returns false for a name that isn't prepared.
    bool deallocate(const std::string &name) { return m_prepared.erase(name) != 0; }
    // Null for a name that isn't prepared.
    const PreparedStatement *findPrepared(const std::string &name) const;
    const std::map<std::string, std::string> &values() const { return m_values; }

private:
    std::map<std::string, std::string> m_values;
    std::map<std::string, PreparedStatement> m_prepared; // by the caller's name
};

// What a connection to a server holds of the sessions that borrowed it.
//
// Before a statement of a session runs on a borrowed connection, restore() tells what must be
// sent first, so that exactly the session's values are set there:
//
//   for (const ServerCommand &command : connection.restore(session, prepared, isInTransaction))
//       send(command);
class ServerConnectionState
{
public:
    // Returns the commands that make this connection fit the session, and takes them as done.
    // `prepared` is the statement that is about to be executed, null for none. Values of other
    // sessions are cleared, except inside a transaction, where none can be left over.
    std::vector<ServerCommand> restore(const SessionState &session,
                                       const PreparedStatement *prepared, bool isInTransaction);
    // How many commands restore() would return.
    std::size_t distance(const SessionState &session, const PreparedStatement *prepared) const;
    // The server says that it doesn't hold what this image says.
    void forgetPrepared() { m_prepared.clear(); }

private:
    bool hasOtherSessionsValue(const SessionState &session) const;

    std::map<std::string, std::string> m_values;
    std::map<std::string, PreparedStatement> m_prepared; // by the name on the server
};

} // namespace nutmegtide
