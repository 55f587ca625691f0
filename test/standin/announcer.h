#pragma once

#include "options.h"
#include "sharedbudget.h"
#include "state.h"

#include <atomic>
#include <curl/curl.h>
#include <thread>

namespace nutmegtide::standin {

// A thread that announces the server to its homes. Each target has a request of
// its own, so that a dead one doesn't delay the others.
class Announcer
{
public:
    // The announcement's fixed members come from the caller, the others from the state.
    Announcer(StandinState &state, SharedBudget &budget, Announcement identity,
              std::vector<Endpoint> configured);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    // Announces at once, after a change of role, term or state. For any thread.
    void wake();

private:
    struct Target
    {
        CURL *easy = nullptr;
        std::string body;
        std::string answer;
        ShareGrant grant; // for the home's latest request
        bool isBusy = false;
        bool isOutdated = false; // the state changed while the request was on its way
        TimePoint nextDue;
        std::vector<Endpoint> homes; // of its latest answer; empty once a request failed
    };

    void run(const std::stop_token &stop);
    void startDue(TimePoint now);
    void start(Target &target, const Endpoint &endpoint, TimePoint now);
    void finishDone(TimePoint now);
    void take(Target &target, TimePoint now);
    // The homes that any target names: proxies that can't reach each other name different ones.
    std::vector<Endpoint> namedHomes() const;
    void setTargets(const std::vector<Endpoint> &endpoints);
    void addTarget(const Endpoint &endpoint);
    std::chrono::milliseconds untilNextDue(TimePoint now) const;

    StandinState &m_state;
    SharedBudget &m_budget;
    Announcement m_identity;
    std::vector<Endpoint> m_configured;
    std::map<Endpoint, Target> m_targets;
    TimePoint m_lastAnswer;
    std::atomic<bool> m_isWoken = false;
    curl_slist *m_headers = nullptr;
    CURLM *m_multi;
    std::jthread m_thread;
};

} // namespace nutmegtide::standin
