#pragma once

#include "nutmegtide/base/errors.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtide {

// One error in a chart.
struct ChartFault
{
    std::string chart;
    int line = 0; // 0 if the error has no line
    std::string problem;
};

// Formats a fault as "CHART:LINE: PROBLEM".
std::string toString(const ChartFault &fault);

// Charts are invalid; lists every fault, not only the first.
class ChartError : public Error
{
public:
    explicit ChartError(std::vector<ChartFault> faults);

    const std::vector<ChartFault> &faults() const { return m_faults; }

private:
    std::vector<ChartFault> m_faults;
};

// An event was fired that no state of the chart handles, which is an error in the firing code.
class ChartEventError : public Error
{
public:
    using Error::Error;
};

// The actions and guards that the code behind a chart implements.
struct ChartVocabulary
{
    std::set<std::string> actions;
    std::set<std::string> guards {};
};

// One transition of a state, taken when its event is fired and its guard allows it.
struct ChartTransition
{
    std::string event;
    std::string target;
    std::vector<std::string> actions;
    std::string guard; // empty: always taken
};

// The event that the owner fires after the chart has been in a state for a given time.
struct ChartTimeout
{
    std::string after; // the name of the setting that holds the time
    std::string event;
};

// One state with its transitions and optional timeout.
struct ChartState
{
    std::vector<ChartTransition> transitions; // the first match is taken
    std::optional<ChartTimeout> timeout;
    bool isFinal = false;
};

// A state chart, parsed from TOML and validated as a whole:
//
//   initial = "serving"
//
//   [states.serving]
//   on = [{ event = "drain_ordered", target = "draining", actions = ["announce_leaving"] }]
//
//   [states.draining]
//   timeout = { after = "drain_timeout", event = "timed_out" }
//   on = [
//       { event = "idle", target = "drained", guard = "no_transactions" },
//       { event = "timed_out", target = "drained", actions = ["abort_transactions"] },
//   ]
//
//   [states.drained]
//   final = true
class Chart
{
public:
    // Throws ChartError with every fault of the chart.
    static Chart parse(const std::string &name, std::string_view toml,
                       const ChartVocabulary &vocabulary);

    const std::string &name() const { return m_name; }
    const std::string &initial() const { return m_initial; }
    const std::map<std::string, ChartState> &states() const { return m_states; }
    // Returns whether any state has a transition for the event.
    bool handles(const std::string &event) const;

private:
    Chart() = default;
    friend class ChartParser;

    std::string m_name;
    std::string m_initial;
    std::map<std::string, ChartState> m_states;
};

// The result of one fired event.
struct ChartStep
{
    std::string chart;
    std::string event;
    std::string from;
    std::string to; // equal to `from` if no transition was taken
    bool isTaken = false; // false: the state ignores the event, or a guard refused it
    std::vector<std::string> actions;
};

// Returns the details of a chart_transition event for the timeline.
std::map<std::string, std::string> detailsOf(const ChartStep &step);

// Runs a chart. It has no clock and no side effects: the owner carries out the returned actions,
// and fires the timeout's event when the time has passed. The chart must outlive the instance.
//
//   ChartInstance drain(library.chart("drain"));
//   const ChartStep step = drain.fire("drain_ordered");
//   for (const std::string &action : step.actions) ...
class ChartInstance
{
public:
    using Guards = std::function<bool(const std::string &guard)>;

    explicit ChartInstance(const Chart &chart);

    const std::string &state() const { return m_state; }
    bool isFinal() const { return current().isFinal; }
    const std::optional<ChartTimeout> &timeout() const { return current().timeout; }
    // Fires an event and takes the first matching transition. A guarded transition is taken only
    // if `guards` returns true for its guard. Throws ChartEventError for an unknown event.
    ChartStep fire(const std::string &event, const Guards &guards = {});

private:
    const ChartState &current() const { return m_chart->states().at(m_state); }

    const Chart *m_chart;
    std::string m_state;
};

} // namespace nutmegtide
