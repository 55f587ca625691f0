#include "nutmegtide/proxy/commitconfirmations.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr Duration LagPause = 4ms; // before the next question after one to a server that lags
constexpr auto StatusPause = 25ms; // the same after a status, which takes a slot
// A commit that has waited for so long, as servers lag, is asked for by their status.
constexpr auto StatusAfter = 40ms;
constexpr Duration FailurePause = 20ms; // before the next question after one that failed
constexpr auto QuestionTimeout = 150ms; // for the reply to a question
constexpr std::size_t HoldersNeeded = 2; // recorded servers that hold a confirmed commit

bool covers(const LogPosition &held, const LogPosition &commit)
{
    return held.term == commit.term && held.index >= commit.index;
}

} // namespace

std::vector<ServerCommand> commandsOf(const ConfirmationQuestion &question)
{
    ServerCommand begin;
    begin.kind = question.kind == QuestionKind::Received ? ServerCommandKind::Status
                                                         : ServerCommandKind::BeginReadOnly;
    begin.after = question.position;
    ServerCommand rollback;
    rollback.kind = ServerCommandKind::Rollback;
    return {begin, rollback};
}

void CommitConfirmations::add(SessionKey session, const UnconfirmedCommit &commit)
{
    Waiting &waiting = m_commits[session];
    waiting = {commit, {}};
    if (commit.isVouched)
        waiting.holders.insert(commit.primary);
}

void CommitConfirmations::remove(SessionKey session)
{
    m_commits.erase(session);
}

std::vector<SessionKey> CommitConfirmations::noteHeld(const ServerId &server,
                                                      const LogPosition &position)
{
    std::vector<SessionKey> confirmed;
    if (m_commits.empty() || m_recorded.count(server) == 0)
        return confirmed;
    m_unvouched.erase(server);
    for (auto &[session, waiting] : m_commits) {
        if (!covers(position, waiting.commit.position))
            continue;
        waiting.holders.insert(server);
        if (isConfirmed(waiting))
            confirmed.push_back(session);
    }
    for (const SessionKey session : confirmed)
        m_commits.erase(session);
    if (!confirmed.empty()) {
        m_missed.clear();
        m_hasLagged = false;
    }
    return confirmed;
}

bool CommitConfirmations::isConfirmed(const Waiting &waiting) const
{
    const auto recorded = std::count_if(waiting.holders.begin(), waiting.holders.end(),
                                        [this](const ServerId &server) {
                                            return m_recorded.count(server) != 0;
                                        });
    return static_cast<std::size_t>(recorded) >= HoldersNeeded;
}

const UnconfirmedCommit *CommitConfirmations::oldest() const
{
    const auto found = std::min_element(m_commits.begin(), m_commits.end(),
                                        [](const auto &a, const auto &b) {
                                            return a.second.commit.since < b.second.commit.since;
                                        });
    return found == m_commits.end() ? nullptr : &found->second.commit;
}

const CommitConfirmations::Waiting &CommitConfirmations::highestOfOldestTerm() const
{
    const Term term = oldest()->position.term;
    const Waiting *highest = nullptr;
    for (const auto &[session, waiting] : m_commits) {
        const LogPosition &position = waiting.commit.position;
        if (position.term == term && (!highest || position > highest->commit.position))
            highest = &waiting;
    }
    return *highest;
}

std::optional<ConfirmationQuestion> CommitConfirmations::next(const std::vector<ServerId> &askable,
                                                              TimePoint now)
{
    if (m_asked || m_commits.empty() || now < m_pausedUntil)
        return std::nullopt;
    const Waiting &highest = highestOfOldestTerm();
    std::vector<ServerId> candidates;
    std::copy_if(askable.begin(), askable.end(), std::back_inserter(candidates),
                 [&](const ServerId &server) {
                     return highest.holders.count(server) == 0 && m_recorded.count(server) != 0;
                 });
    if (candidates.empty()) {
        m_pausedUntil = now + FailurePause;
        return std::nullopt;
    }
    auto chosen = std::find_if(candidates.begin(), candidates.end(), [this](const ServerId &server) {
        return m_missed.count(server) == 0;
    });
    if (chosen == candidates.end()) {
        m_missed.clear();
        chosen = candidates.begin();
    }
    m_hasOthers = m_missed.size() + 1 < candidates.size();
    m_asked = ConfirmationQuestion {*chosen, highest.commit.position, nextKind(now)};
    m_askedAt = now;
    return m_asked;
}

// A server without a free slot gives no status, but answers whether it has applied a position.
QuestionKind CommitConfirmations::nextKind(TimePoint now) const
{
    const bool isLong = m_hasLagged && now - oldest()->since >= StatusAfter;
    const bool isAskedFirst = m_asksReceivedFirst && !m_hasStatusFailed;
    return isLong || isAskedFirst ? QuestionKind::Received : QuestionKind::Applied;
}

void CommitConfirmations::confirmed()
{
    m_hasStatusFailed = false;
    m_asked.reset();
}

bool CommitConfirmations::isHolder(const ServerId &server) const
{
    return std::any_of(m_commits.begin(), m_commits.end(), [&server](const auto &item) {
        return item.second.holders.count(server) != 0;
    });
}

void CommitConfirmations::missed(ConfirmationMiss miss, TimePoint now)
{
    if (!m_asked)
        return;
    const Duration pause = pauseAfter(miss);
    m_hasStatusFailed = miss == ConfirmationMiss::Failed && m_asked->kind == QuestionKind::Received;
    m_hasLagged = m_hasLagged || miss == ConfirmationMiss::Lags;
    if (miss == ConfirmationMiss::Unvouched)
        m_unvouched.insert(m_asked->server);
    m_missed.insert(m_asked->server);
    m_asked.reset();
    m_pausedUntil = now + pause;
}

// The primary acknowledges a commit once one replica has received it, so where one hasn't yet,
// another one has.
Duration CommitConfirmations::pauseAfter(ConfirmationMiss miss) const
{
    const bool asksStatus = m_asked->kind == QuestionKind::Received;
    if (miss == ConfirmationMiss::Unvouched)
        return m_hasOthers ? Duration() : FailurePause;
    if (miss == ConfirmationMiss::Failed)
        return asksStatus && m_asksReceivedFirst ? LagPause : FailurePause;
    if (!asksStatus)
        return LagPause;
    return m_asksReceivedFirst && m_hasOthers ? Duration() : Duration(StatusPause);
}

std::optional<TimePoint> CommitConfirmations::dueAt() const
{
    if (m_asked)
        return m_askedAt + QuestionTimeout;
    if (m_commits.empty())
        return std::nullopt;
    return m_pausedUntil;
}

bool CommitConfirmations::isOverdue(TimePoint now) const
{
    return m_asked && now >= m_askedAt + QuestionTimeout;
}

std::optional<TimePoint> CommitConfirmations::waitingSince() const
{
    const UnconfirmedCommit *first = oldest();
    if (first == nullptr)
        return std::nullopt;
    return first->since;
}

} // namespace nutmegtide
