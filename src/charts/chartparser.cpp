#include "charts/chartparser.h"

namespace nutmegtide {

namespace {

int lineOf(const toml::node &node)
{
    return static_cast<int>(node.source().begin.line);
}

} // namespace

Chart Chart::parse(const std::string &name, std::string_view toml, const ChartVocabulary &vocabulary)
{
    return ChartParser(name, vocabulary).parse(toml);
}

ChartParser::ChartParser(const std::string &name, const ChartVocabulary &vocabulary)
    : m_vocabulary(vocabulary)
{
    m_chart.m_name = name;
}

Chart ChartParser::parse(std::string_view text)
{
    try {
        readRoot(toml::parse(text));
    } catch (const toml::parse_error &error) {
        addFault(static_cast<int>(error.source().begin.line), std::string(error.description()));
    }
    if (!m_faults.empty())
        throw ChartError(m_faults);
    return m_chart;
}

void ChartParser::readRoot(const toml::table &root)
{
    checkKeys(root, {"initial", "states"});
    m_chart.m_initial = readText(root, "initial", true);
    const toml::node *states = root.get("states");
    if (states == nullptr || !states->is_table() || states->as_table()->empty()) {
        addFault(0, "no states");
        return;
    }
    readStates(*states->as_table());
    checkInitial();
    for (const auto &[name, state] : m_chart.m_states)
        checkState(name, state);
    checkReachable();
}

void ChartParser::readStates(const toml::table &states)
{
    for (const auto &[key, node] : states) {
        const std::string name(key.str());
        if (node.is_table()) {
            readState(name, *node.as_table());
        } else {
            addFault(lineOf(node), "state " + name + " is not a table");
        }
    }
}

void ChartParser::readState(const std::string &name, const toml::table &table)
{
    checkKeys(table, {"final", "timeout", "on"});
    ChartState state;
    m_lines[name] = lineOf(table);
    if (const toml::node *final = table.get("final")) {
        if (!final->is_boolean())
            addFault(lineOf(*final), "final is not a boolean");
        state.isFinal = final->value_exact<bool>().value_or(false);
    }
    readTimeout(state, table);
    if (const toml::node *rows = table.get("on")) {
        if (rows->is_array()) {
            readTransitions(state, *rows->as_array());
        } else {
            addFault(lineOf(*rows), "on is not an array of tables");
        }
    }
    m_chart.m_states.emplace(name, std::move(state));
}

void ChartParser::readTimeout(ChartState &state, const toml::table &table)
{
    const toml::node *node = table.get("timeout");
    if (node == nullptr)
        return;
    if (!node->is_table()) {
        addFault(lineOf(*node), "timeout is not a table");
        return;
    }
    const toml::table &timeout = *node->as_table();
    checkKeys(timeout, {"after", "event"});
    state.timeout = ChartTimeout {readText(timeout, "after", true),
                                  readText(timeout, "event", true)};
}

void ChartParser::readTransitions(ChartState &state, const toml::array &rows)
{
    for (const toml::node &row : rows) {
        if (row.is_table()) {
            state.transitions.push_back(readTransition(*row.as_table()));
        } else {
            addFault(lineOf(row), "a transition is not a table");
        }
    }
}

ChartTransition ChartParser::readTransition(const toml::table &row)
{
    checkKeys(row, {"event", "target", "actions", "guard"});
    ChartTransition transition;
    transition.event = readText(row, "event", true);
    transition.target = readText(row, "target", true);
    transition.guard = readText(row, "guard", false);
    if (!transition.guard.empty() && !m_vocabulary.guards.contains(transition.guard))
        addFault(lineOf(row), "unknown guard " + transition.guard);
    transition.actions = readActions(row);
    return transition;
}

std::vector<std::string> ChartParser::readActions(const toml::table &row)
{
    std::vector<std::string> actions;
    const toml::node *node = row.get("actions");
    if (node == nullptr)
        return actions;
    if (!node->is_array()) {
        addFault(lineOf(*node), "actions is not an array");
        return actions;
    }
    for (const toml::node &action : *node->as_array()) {
        const auto name = action.value_exact<std::string>();
        if (!name) {
            addFault(lineOf(action), "an action is not text");
        } else if (!m_vocabulary.actions.contains(*name)) {
            addFault(lineOf(action), "unknown action " + *name);
        } else {
            actions.push_back(*name);
        }
    }
    return actions;
}

std::string ChartParser::readText(const toml::table &table, std::string_view key, bool isRequired)
{
    const toml::node *node = table.get(key);
    if (node == nullptr) {
        if (isRequired)
            addFault(lineOf(table), "no " + std::string(key));
        return {};
    }
    const auto text = node->value_exact<std::string>();
    if (!text || text->empty())
        addFault(lineOf(*node), std::string(key) + " is not a name");
    return text.value_or("");
}

void ChartParser::checkKeys(const toml::table &table, const std::set<std::string_view> &known)
{
    for (const auto &[key, node] : table) {
        if (!known.contains(key.str()))
            addFault(lineOf(node), "unknown key " + std::string(key.str()));
    }
}

void ChartParser::checkInitial()
{
    const std::string &initial = m_chart.m_initial;
    if (!initial.empty() && !m_chart.m_states.contains(initial))
        addFault(0, "initial state " + initial + " is missing");
}

void ChartParser::checkState(const std::string &name, const ChartState &state)
{
    for (const ChartTransition &transition : state.transitions) {
        if (!transition.target.empty() && !m_chart.m_states.contains(transition.target))
            addFault(m_lines[name], "target " + transition.target + " of " + name + " is missing");
    }
    if (state.isFinal && !state.transitions.empty())
        addFault(m_lines[name], "final state " + name + " has transitions");
    if (!state.isFinal && state.transitions.empty())
        addFault(m_lines[name], "state " + name + " has no transitions and is not final");
    checkDuplicates(name, state);
    checkTimeout(name, state);
}

void ChartParser::checkDuplicates(const std::string &name, const ChartState &state)
{
    std::set<std::pair<std::string, std::string>> seen; // event and guard
    for (const ChartTransition &transition : state.transitions) {
        if (transition.event.empty())
            continue;
        const bool isSame = seen.contains({transition.event, transition.guard});
        const bool isHidden = seen.contains({transition.event, ""});
        if (isSame || isHidden)
            addFault(m_lines[name], "duplicate transition for " + transition.event + " in " + name);
        seen.emplace(transition.event, transition.guard);
    }
}

void ChartParser::checkTimeout(const std::string &name, const ChartState &state)
{
    if (!state.timeout || state.timeout->event.empty())
        return;
    for (const ChartTransition &transition : state.transitions) {
        if (transition.event == state.timeout->event)
            return;
    }
    addFault(m_lines[name], "timeout event " + state.timeout->event + " is not handled in " + name);
}

void ChartParser::checkReachable()
{
    if (!m_chart.m_states.contains(m_chart.m_initial))
        return;
    const std::set<std::string> reached = reachableStates();
    for (const auto &[name, state] : m_chart.m_states) {
        if (!reached.contains(name))
            addFault(m_lines[name], "state " + name + " is unreachable");
    }
}

std::set<std::string> ChartParser::reachableStates() const
{
    std::set<std::string> reached;
    std::vector<std::string> open = {m_chart.m_initial};
    while (!open.empty()) {
        const std::string name = open.back();
        open.pop_back();
        const auto state = m_chart.m_states.find(name);
        if (state == m_chart.m_states.end() || !reached.insert(name).second)
            continue;
        for (const ChartTransition &transition : state->second.transitions)
            open.push_back(transition.target);
    }
    return reached;
}

void ChartParser::addFault(int line, std::string problem)
{
    m_faults.push_back({m_chart.m_name, line, std::move(problem)});
}

} // namespace nutmegtide
