#include "nutmegtide/charts/chart.h"

#include <algorithm>

namespace nutmegtide {

namespace {

std::string joined(const std::vector<ChartFault> &faults)
{
    std::string text;
    for (const ChartFault &fault : faults)
        text += (text.empty() ? "" : "\n") + toString(fault);
    return text;
}

} // namespace

std::string toString(const ChartFault &fault)
{
    return fault.chart + ':' + std::to_string(fault.line) + ": " + fault.problem;
}

ChartError::ChartError(std::vector<ChartFault> faults)
    : Error(joined(faults))
    , m_faults(std::move(faults))
{ }

bool Chart::handles(const std::string &event) const
{
    return std::any_of(m_states.begin(), m_states.end(), [&event](const auto &entry) {
        const auto &transitions = entry.second.transitions;
        return std::any_of(transitions.begin(), transitions.end(),
                           [&event](const ChartTransition &t) { return t.event == event; });
    });
}

std::map<std::string, std::string> detailsOf(const ChartStep &step)
{
    return {{"chart", step.chart}, {"event", step.event}, {"from", step.from}, {"to", step.to}};
}

ChartInstance::ChartInstance(const Chart &chart)
    : m_chart(&chart)
    , m_state(chart.initial())
{ }

ChartStep ChartInstance::fire(const std::string &event, const Guards &guards)
{
    if (!m_chart->handles(event))
        throw ChartEventError("chart " + m_chart->name() + " has no event " + event);
    ChartStep step {m_chart->name(), event, m_state, m_state, false, {}};
    for (const ChartTransition &transition : current().transitions) {
        if (transition.event != event)
            continue;
        if (!transition.guard.empty() && !(guards && guards(transition.guard)))
            continue;
        step.to = transition.target;
        step.isTaken = true;
        step.actions = transition.actions;
        break;
    }
    m_state = step.to;
    return step;
}

} // namespace nutmegtide
