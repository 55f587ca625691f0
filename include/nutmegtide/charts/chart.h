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

// One thing that is wrong with a chart.
struct ChartFault
{
    std::string chart;
    int line = 0; // 0 where no line can be named
    std::string problem;
};

// Writes "CHART:LINE: what is wrong".
std::string toString(const ChartFault &fault);

// Charts that can't be taken; lists every fault, not only the first.
class ChartError : public Error
{
public:
    explicit ChartError(std::vector<ChartFault> faults);

    const std::vector<ChartFault> &faults() const { return m_faults; }

private:
    std::vector<ChartFault> m_faults;
};

// An event that no state of the chart handles, which is a mistake of the firing code.
class ChartEventError : public Error
{
public:
    using Error::Error;
};

// The names that the code behind a chart gives a meaning to.
struct ChartVocabulary
{
    std::set<std::string> actions;
    std::set<std::string> guards {};
};

struct ChartTransition
{
    std::string event;
    std::string target;
    std::vector<std::string> actions;
    std::string guard; // empty: always taken
};

// The event that the owner fires when a state was held for a time.
struct ChartTimeout
{
    std::string after; // names the setting that holds the time
    std::string event;
};

struct ChartState
{
    std::vector<ChartTransition> transitions; // the first that fits is taken
    std::optional<ChartTimeout> timeout;
    bool isFinal = false;
};

// A state chart, read from TOML and checked as a whole:
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
    // Throws ChartError with every fault.
    static Chart parse(const std::string &name, std::string_view toml,
                       const ChartVocabulary &vocabulary);

    const std::string &name() const { return m_name; }
    const std::string &initial() const { return m_initial; }
    const std::map<std::string, ChartState> &states() const { return m_states; }
    bool handles(const std::string &event) const;

private:
    Chart() = default;
    friend class ChartParser;

    std::string m_name;
    std::string m_initial;
    std::map<std::string, ChartState> m_states;
};

// What one fired event did.
struct ChartStep
{
    std::string chart;
    std::string event;
    std::string from;
    std::string to; // equal to `from` when no transition was taken
    bool isTaken = false; // false: the state ignores the event, or a guard refused it
    std::vector<std::string> actions;
};

// Returns the details of a chart_transition event on the time line.
std::map<std::string, std::string> detailsOf(const ChartStep &step);

// Runs a chart. It has no time and no side effects of its own: the owner carries out
// the returned actions, and fires the timeout's event when the time has passed.
// The chart must outlive the instance.
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
    // Without `guards`, a guarded transition is not taken. Throws ChartEventError.
    ChartStep fire(const std::string &event, const Guards &guards = {});

private:
    const ChartState &current() const { return m_chart->states().at(m_state); }

    const Chart *m_chart;
    std::string m_state;
};

} // namespace nutmegtide
