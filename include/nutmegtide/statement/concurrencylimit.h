#pragma once

#include "nutmegtide/base/time.h"

namespace nutmegtide {

// The number of statements that a home proxy runs at once on one backend server.
// It starts at the slots that the server announces, grows by one for each window
// of answers while statements wait, and is cut by a quarter when the server
// refuses more than a few of a window as busy or slows down (additive increase,
// multiplicative decrease). A few busy refusals are the price of knowing. Several home proxies so
// find shares of one server without talking to each other.
//
//   limit.setBounds(announced.slots, connections);
//   limit.observeServed(service, isSaturated, now);
//   while (running < limit.value()) start();
class ConcurrencyLimit
{
public:
    // A change of the slots starts anew from them.
    void setBounds(int slots, int connections);
    // Takes the time that the server needed. Only a saturated limit may grow.
    void observeServed(Duration service, bool isSaturated, TimePoint now);
    void observeBusy(TimePoint now);

    // At least 1, and at most the connections.
    int value() const;
    // Running estimate of the time that a statement takes; 0 before the first one.
    Duration serviceTime() const;
    // What few statements exceed: the estimate and twice its mean deviation.
    Duration slowServiceTime() const;

private:
    using Seconds = std::chrono::duration<double>;

    void cut(TimePoint now);
    void startWindow();
    void endWindow(TimePoint now);

    int m_slots = 0;
    int m_connections = 1;
    double m_limit = 1;
    TimePoint m_cutAt;
    bool m_isMeasured = false;
    Seconds m_mean {0};
    Seconds m_deviation {0};
    Seconds m_usual {0}; // the least window mean, let up slowly
    Seconds m_windowSum {0};
    int m_windowCount = 0; // answers
    int m_windowBusy = 0; // refusals
    int m_windowSaturated = 0; // answers while statements waited
};

} // namespace nutmegtide
