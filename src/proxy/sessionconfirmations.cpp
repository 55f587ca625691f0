// Part of SessionProxy that withholds the answers to commits until a recorded replica holds them.
#include "nutmegtide/proxy/sessionproxy.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto QuestionMaxWait = 100ms; // for a question at the home of the replica
// Writes are refused if no recorded replica could be asked while a commit waited for so long.
constexpr auto StallTime = 300ms;
constexpr std::string_view UnconfirmedReason = "no recorded replica is known to hold the commit";

} // namespace

void SessionProxy::setRecordedServers(std::set<ServerId> recorded)
{
    m_recorded = std::move(recorded);
    for (auto &[service, state] : m_confirmations)
        state.commits.setRecorded(*m_recorded);
}

bool SessionProxy::needsConfirmation(const ServiceName &service) const
{
    const auto settings = m_routes->services.find(service);
    return m_recorded && settings != m_routes->services.end() && settings->second.syncReplicas > 0;
}

// Keeps the answer to a commit until it is confirmed.
void SessionProxy::withhold(SessionKey key, const SessionAnswer &answer, bool isVouched,
                            TimePoint now)
{
    Work &work = *m_sessions.at(key).work;
    work.phase = Phase::Confirm;
    work.connection = 0;
    work.withheld = answer;
    work.withheldAt = now;
    m_timers.set(key, work.replyDeadline);
    const ServiceName service = work.route.service;
    CommitConfirmations &commits = m_confirmations[service].commits;
    commits.setRecorded(*m_recorded);
    commits.setAsksReceivedFirst(m_balanced.count(service) != 0);
    commits.add(key, {*answer.position, work.server, now, isVouched});
    askConfirmation(service, now);
}

// Asks the next recorded replica, unless a question is outstanding.
void SessionProxy::askConfirmation(const ServiceName &service, TimePoint now)
{
    ConfirmationState &state = m_confirmations.at(service);
    if (!state.commits.isWaiting() || state.commits.asked())
        return;
    const auto question = state.commits.next(m_pool.askableServers(service, now), now);
    if (!question)
        return;
    state.connection = 0;
    acquire({0, service, {}, true}, question->server, now);
}

void SessionProxy::sendQuestion(const ServiceName &service, ConnectionKey connection, TimePoint now)
{
    ConfirmationState &state = m_confirmations.at(service);
    state.connection = connection;
    ServerConnection &held = *m_pool.connection(connection);
    held.expected.push_back(Expectation::Confirmation);
    held.expected.push_back(Expectation::Rollback);
    sendCommands(connection, commandsOf(*state.commits.asked()), {0, QuestionMaxWait}, now);
}

void SessionProxy::onConfirmation(ConnectionKey key, const ServiceName &service,
                                  const ServerReply &reply, TimePoint now)
{
    ConfirmationState &state = m_confirmations.at(service);
    m_pool.connection(key)->borrower.reset(); // it becomes free with the reply to the rollback
    if (state.connection != key)
        return; // the question was given up
    state.connection = 0;
    const ConfirmationQuestion question = *state.commits.asked();
    const std::optional<LogPosition> known = heldPosition(question, reply);
    if (known && !reply.isVouched) {
        state.commits.missed(ConfirmationMiss::Unvouched, now);
        return askConfirmation(service, now);
    }
    if (!known) {
        const bool isBehind = reply.fault == StatementFault::Lagging;
        return state.commits.missed(isBehind ? ConfirmationMiss::Lags : ConfirmationMiss::Failed,
                                    now);
    }
    const std::vector<SessionKey> confirmed = state.commits.noteHeld(question.server, *known);
    if (confirmed.empty() && !state.commits.isHolder(question.server))
        state.commits.missed(ConfirmationMiss::Lags, now);
    else
        state.commits.confirmed();
    deliver(confirmed, now);
    askConfirmation(service, now);
}

// Returns a position that the server's log holds by its reply, if it tells one.
std::optional<LogPosition> SessionProxy::heldPosition(const ConfirmationQuestion &question,
                                                      const ServerReply &reply)
{
    if (reply.fault)
        return std::nullopt;
    // A home of an older version answers a question for the status like one for what is applied.
    if (question.kind == QuestionKind::Received) {
        if (const auto status = m_delegate.readStatus(reply))
            return status->received;
    }
    // A log of a later term may be beyond the position and yet lack it.
    return reply.position ? *reply.position : question.position;
}

void SessionProxy::questionFailed(const ServiceName &service, TimePoint now)
{
    ConfirmationState &state = m_confirmations.at(service);
    state.connection = 0;
    state.commits.missed(ConfirmationMiss::Failed, now);
}

// Uses the position in a server's reply to anything.
void SessionProxy::noteReplicated(const ServerId &server, const LogPosition &position, TimePoint now)
{
    const PooledServer *pooled = m_pool.find(server);
    if (pooled == nullptr)
        return;
    const auto state = m_confirmations.find(pooled->record.announcement.service);
    if (state != m_confirmations.end())
        deliver(state->second.commits.noteHeld(server, position), now);
}

void SessionProxy::deliver(const std::vector<SessionKey> &sessions, TimePoint now)
{
    for (const SessionKey key : sessions) {
        Session &session = m_sessions.at(key);
        const SessionAnswer answer = session.work->withheld;
        session.lastPosition = answer.position;
        finish(key, answer, now);
    }
}

void SessionProxy::failUnconfirmed(SessionKey key, TimePoint now)
{
    note(key, *m_sessions.at(key).work, "unconfirmed", UnconfirmedReason, now);
    fail(key, StatementFault::OutcomeUnknown, UnconfirmedReason, now);
}

void SessionProxy::tickConfirmations(TimePoint now)
{
    for (auto &[service, state] : m_confirmations) {
        if (state.commits.isOverdue(now)) {
            if (state.connection == 0)
                leaveQueue({0, service, {}, true}, state.commits.asked()->server);
            questionFailed(service, now);
        }
        const auto since = state.commits.waitingSince();
        const bool isLong = since && now - *since >= StallTime;
        state.isStalled = (state.isStalled || isLong) && !canAskReplica(service, now);
        askConfirmation(service, now);
    }
}

bool SessionProxy::canAskReplica(const ServiceName &service, TimePoint now) const
{
    if (!m_recorded)
        return true;
    const auto primary = m_pool.primary(service, now);
    const std::vector<ServerId> askable = m_pool.askableServers(service, now);
    const auto state = m_confirmations.find(service);
    return std::any_of(askable.begin(), askable.end(), [&](const ServerId &server) {
        const bool isUnvouched = state != m_confirmations.end()
                && state->second.commits.unvouchedServers().count(server) != 0;
        return server != primary && m_recorded->count(server) != 0 && !isUnvouched;
    });
}

void SessionProxy::takeOpenChanges(const OpenChanges &changes, TimePoint now)
{
    m_vouches.learn(changes, now);
    for (auto &[service, state] : m_confirmations) {
        if (changes.services.count(service) == 0)
            state.commits.forgetUnvouched();
    }
}

bool SessionProxy::needsOpenChanges(TimePoint now) const
{
    return m_vouches.isAwaited(now)
            || std::any_of(m_confirmations.begin(), m_confirmations.end(), [](const auto &item) {
                   return !item.second.commits.unvouchedServers().empty();
               });
}

// Returns whether a write of the service would not be confirmed, as no recorded replica is reachable.
bool SessionProxy::isStalled(const ServiceName &service, TimePoint now) const
{
    const auto state = m_confirmations.find(service);
    return state != m_confirmations.end() && state->second.isStalled && needsConfirmation(service)
            && !canAskReplica(service, now);
}

} // namespace nutmegtide
