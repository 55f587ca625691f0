#pragma once

#include "nutmegtide/session/sessionstatement.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegtide::test {

// One commit in the log of a database group.
struct GroupCommit
{
    std::string request; // that the caller gave it
    std::string key;
    int value = 0;
};

// The primary and the replicas of one database, as the soak's stand-in: a shared log, of which
// each server holds a part, terms, holds of replication and promotions. A commit is acknowledged
// once one replica holds it. It notes what must never happen. Thread-safe.
//
//   DatabaseGroup group(3);
//   DatabaseGroup::Connection connection {0};
//   const auto lines = group.answer(connection, "QUERY q1 WRITE k 7");
class DatabaseGroup
{
public:
    // One connection of a caller; made anew for each connection.
    struct Connection
    {
        int server = 0;
        bool isStarted = false;
        TransactionState state = TransactionState::Idle;
        bool isReadOnly = false;
        std::uint64_t term = 0; // in which the transaction began
        std::vector<GroupCommit> writes; // of the open transaction
        int life = 0; // of the server, at the start of the connection
    };

    explicit DatabaseGroup(int servers);

    // From now on each server refuses a part of the callers' statements as busy, without running
    // them.
    void refuseSome();
    // Returns the lines that answer one line; nothing where the connection breaks instead.
    std::optional<std::string> answer(Connection &connection, const std::string &line);
    // Makes the server the primary of the next term, with what it holds. False for a server that
    // is down.
    bool promote(int server);
    // A server that is down breaks its connections; it comes back with its log.
    void setUp(int server, bool isUp);
    bool isUp(int server) const;
    bool isPrimary(int server) const;
    // Callers name each request before they send it.
    void expect(const std::string &request);
    // Adds a line to the trace, which also has each request at a server and its answer.
    void note(const std::string &line);
    std::string trace() const;
    // How often the request stands in the log.
    int count(const std::string &request) const;
    // What was seen that must never happen.
    std::vector<std::string> violations() const;
    int promotions() const;
    // How many statements were refused as busy.
    int refused() const;

    static std::string id(int server) { return "i-" + std::to_string(server); }

private:
    struct Server
    {
        bool isUp = true;
        int life = 0;
        std::uint64_t heldTerm = 0; // it receives nothing until a promotion in this term
        std::size_t received = 0; // commits
    };

    // All with m_mutex held.
    std::optional<std::string> answerLocked(Connection &connection, const std::string &line);
    void addTrace(const std::string &line);
    std::optional<std::string> query(Connection &connection, const std::string &request,
                                     const std::string &text);
    std::optional<std::string> finish(Connection &connection, const std::string &request,
                                      const std::vector<GroupCommit> &writes);
    std::string read(const Connection &connection, const std::string &request,
                     const std::string &key);
    std::string error(Connection &connection, const std::string &code);
    std::string done(const Connection &connection, const std::string &proof) const;
    std::string ready(const Connection &connection) const;
    std::string standing(const Connection &connection) const;
    bool leads(const Connection &connection) const;
    bool isRefused(const std::string &verb);
    std::string busy(const Connection &connection) const;
    bool replicate();

    mutable std::mutex m_mutex;
    std::vector<Server> m_servers;
    std::uint64_t m_term = 1;
    int m_primary = 0;
    int m_promotions = 0;
    std::vector<GroupCommit> m_log;
    std::set<std::string> m_expected;
    std::vector<std::string> m_violations;
    std::string m_trace;
    bool m_isRefusing = false;
    int m_statements = 0; // that may be refused
    int m_refused = 0;
};

} // namespace nutmegtide::test
