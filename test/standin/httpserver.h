#pragma once

#include "errors.h"
#include "options.h"
#include "sharedbudget.h"
#include "state.h"

#include <civetweb.h>

namespace nutmegtide::standin {

// What the checks of the proxies read at GET /debug/counters.
struct Counters
{
    int connections = 0; // that carry statements or position polls
    int peak = 0;
    std::uint64_t refused = 0; // connections over the limit
    std::uint64_t executed = 0; // statements that ran, replays not counted
    std::uint64_t replays = 0;
    std::uint64_t busy = 0; // statements refused since all slots were taken
};

// Serves the state over HTTP. A connection that carries a statement or a
// position poll counts towards the limit; the calls of control, replication
// and debugging don't.
class HttpServer
{
public:
    // Throws StandinError when it can't listen.
    HttpServer(StandinState &state, const Options &options, SharedBudget &budget);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    Endpoint address() const { return m_address; }

private:
    struct Connection
    {
        ConnectionId id = 0;
        bool isCounted = false;
        HomeRunId home; // empty where the connection names none
    };
    struct Request
    {
        std::string path;
        std::string query;
        std::string body;
        HomeRunId home;
        Connection *connection = nullptr;
    };
    struct Answer
    {
        int status = 200;
        Json body;
        bool isClosing = false;
    };
    struct Route
    {
        const char *method;
        const char *path; // a final slash takes what follows as an id
        Answer (HttpServer::*handle)(const Request &request);
    };
    static const Route Routes[];

    static int openConnection(const mg_connection *connection, void **data);
    static void closeConnection(const mg_connection *connection);
    static int handleRequest(mg_connection *connection, void *server);
    Answer route(const std::string &method, const Request &request);
    Answer refusalAnswer(const RefusalError &error) const;

    Answer execute(const Request &request);
    Answer runStatement(const ExecuteRequest &message, const Request &request);
    Answer position(const Request &request);
    Answer fence(const Request &request);
    Answer promote(const Request &request);
    Answer follow(const Request &request);
    Answer requestFate(const Request &request);
    Answer logFeed(const Request &request);
    Answer debugLog(const Request &request);
    Answer debugCounters(const Request &request);
    Answer debugLag(const Request &request);
    Answer debugState(const Request &request);

    void countConnection(const Request &request);
    void takeSlot();
    void releaseSlot();

    StandinState &m_state;
    SharedBudget &m_budget;
    int m_slots;
    int m_connectionLimit;
    std::mutex m_mutex; // for the members below
    Counters m_counters;
    int m_busySlots = 0;
    ConnectionId m_lastConnection = 0;
    mg_context *m_context = nullptr;
    Endpoint m_address;
};

} // namespace nutmegtide::standin
