// Log lines of an entry VM.
#include "site/entrynode.h"

#include <sstream>

namespace nutmegtide {

namespace {

std::string textOf(const std::optional<LogPosition> &position)
{
    std::ostringstream text;
    if (position)
        text << *position;
    return text.str();
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

// Successful statements are only counted, not logged.
void EntryNode::requestDecided(const RequestDecision &decision)
{
    m_counts.take(decision);
    const std::string step(decision.step);
    if (step == "answered")
        return;
    if (step == "unconfirmed")
        return logUnconfirmed(decision);
    logLine(LogLevel::Info, "request_" + step,
            {{"request_id", decision.request.text()},
             {"session", std::to_string(decision.session)},
             {"database", decision.database.text()},
             {"workspace", decision.workspace.text()},
             {"kind", std::string(toString(decision.kind))},
             {"fault", decision.fault ? std::string(toString(*decision.fault)) : ""},
             {"reason", std::string(decision.reason)},
             {"server", decision.server.text()},
             {"consistency", std::string(toString(decision.consistency))},
             {"leads", decision.isPrimary ? "yes" : "no"},
             {"needed", textOf(decision.needed)},
             {"needed_age_ms", milliseconds(decision.neededAge)},
             {"waited_ms", milliseconds(decision.waited)},
             {"revision", std::to_string(decision.revision)}});
}

void EntryNode::logUnconfirmed(const RequestDecision &decision)
{
    std::string asked;
    for (const ServerId &server : decision.asked)
        asked += (asked.empty() ? "" : ",") + server.text();
    logLine(LogLevel::Warning, "request_unconfirmed",
            {{"request_id", decision.request.text()},
             {"session", std::to_string(decision.session)},
             {"database", decision.database.text()},
             {"server", decision.server.text()},
             {"committed", textOf(decision.committed)},
             {"asked", asked},
             {"withheld_ms", milliseconds(decision.withheld.value_or(Duration()))},
             {"reason", std::string(decision.reason)}});
}

void EntryNode::keyRefused(const KeyRefusal &refusal)
{
    logLine(LogLevel::Warning, refusal.workspace.isEmpty() ? "key_refused" : "key_revoked",
            {{"session", std::to_string(refusal.session)},
             {"database", refusal.database.text()},
             {"workspace", refusal.workspace.text()},
             {"revision", std::to_string(refusal.revision)}});
}

void EntryNode::serverAssessed(const ServerAssessment &serverAssessment)
{
    logLine(LogLevel::Warning, "server_judged",
            {{"server", serverAssessment.server.text()},
             {"service", serverAssessment.service.text()},
             {"belief", std::string(serverAssessment.assessment)},
             {"reason", std::string(serverAssessment.reason)}});
}

void EntryNode::logLine(LogLevel level, const std::string &event,
                        const std::vector<LogField> &fields)
{
    std::uint64_t suppressed = 0;
    if (!m_logLimiter.take(event, EventLoop::now(), suppressed))
        return;
    std::vector<LogField> all = fields;
    if (suppressed > 0)
        all.push_back({"suppressed", std::to_string(suppressed)});
    logEvent(level, event, {m_identity.vm, m_identity.failureDomain, "entry"}, all);
}

} // namespace nutmegtide
