#include "nutmegtide/failover/semisyncchange.h"

#include <algorithm>
#include <array>

namespace nutmegtide {

namespace {

constexpr auto QueryInterval = 60ms; // between queries while waiting for an answer
constexpr auto OrderTime = 2s; // to wait for the platform's answer before repeating the order
constexpr auto ConfirmTime = 4s; // from the accepted order until the server reports that it leads
constexpr auto MaxPromoteTime = 2s; // from an accepted order until it takes effect
constexpr auto RetryTime = 150ms;
constexpr auto CoverTime = 900ms; // in which a departure is covered while replication works

} // namespace

SemiSyncChange::SemiSyncChange(ChangeReason reason, std::vector<ChangeServer> servers, ServerId from)
    : m_reason(reason)
    , m_servers(std::move(servers))
    , m_from(std::move(from))
{ }

void SemiSyncChange::setOpenOrders(std::set<ServerId> servers, TimePoint orderedBy)
{
    m_openOrders = std::move(servers);
    m_orderedAt = orderedBy;
}

std::string_view SemiSyncChange::stepName() const
{
    static constexpr std::array<std::string_view, 9> Names = {"probing",     "holding",
                                                              "catching_up", "reserving",
                                                              "ordering",    "confirming",
                                                              "settling",    "waiting",
                                                              "over"};
    return Names.at(static_cast<std::size_t>(m_step));
}

Term SemiSyncChange::primaryTerm() const
{
    const auto found = m_progress.find(m_result);
    return found == m_progress.end() ? 0 : found->second.status.term;
}

SemiSyncChangeActions SemiSyncChange::takeActions()
{
    return std::exchange(m_actions, {});
}

void SemiSyncChange::enter(Step step, TimePoint now, Duration timeout)
{
    m_step = step;
    m_deadline = now + timeout;
    m_wakeAt = mustGuardOrders() ? std::min(m_deadline, now + QueryInterval) : m_deadline;
}

SemiSyncChangeActions SemiSyncChange::start(TimePoint now)
{
    m_coverUntil = now + CoverTime;
    probe(now);
    return takeActions();
}

void SemiSyncChange::queryAll(TimePoint now)
{
    for (const ChangeServer &server : m_servers) {
        if (!m_progress[server.server].isAnswered)
            m_actions.emplace_back(QueryStatus {server.server});
    }
    m_wakeAt = std::min(m_deadline, now + QueryInterval);
}

bool SemiSyncChange::hasEveryServerResponded() const
{
    return std::all_of(m_progress.begin(), m_progress.end(), [](const auto &item) {
        return item.second.isAnswered || item.second.isUnreachable;
    });
}

bool SemiSyncChange::isLeaving(const ServerId &server) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&server](const ChangeServer &known) {
        return known.server == server && known.isLeaving;
    });
}

bool SemiSyncChange::isBeforeOrder() const
{
    return m_step == Step::Holding || m_step == Step::CatchingUp || m_step == Step::Reserving;
}

SemiSyncChangeActions SemiSyncChange::onToken(std::uint64_t token, TimePoint now)
{
    if (m_step != Step::Reserving)
        return {};
    m_token = token;
    order(now);
    return takeActions();
}

void SemiSyncChange::order(TimePoint now)
{
    m_isRepeated = !m_openOrders.insert(m_chosen).second;
    m_orderedAt = now;
    m_wasChosenPrimary = m_progress[m_chosen].status.isPrimary;
    m_isAccepted = false;
    enter(Step::Ordering, now, OrderTime);
    m_actions.emplace_back(OrderPromotion {m_chosen, m_token});
    if (!m_wasChosenPrimary)
        m_wakeAt = now + QueryInterval;
}

SemiSyncChangeActions SemiSyncChange::onTokenFailed(TimePoint now)
{
    if (m_step == Step::Reserving)
        retryLater("the control log assigned no token", now);
    return takeActions();
}

SemiSyncChangeActions SemiSyncChange::onPromotionAnswered(std::uint64_t token,
                                                          PromotionOutcome outcome, TimePoint now)
{
    if (m_step != Step::Ordering || token != m_token)
        return {};
    switch (outcome) {
    case PromotionOutcome::Accepted:
        // The platform refuses all earlier tokens from now on.
        m_isAccepted = true;
        if (m_wasChosenPrimary) {
            settle(now);
        } else {
            m_openOrders.clear();
            confirm(now);
        }
        break;
    case PromotionOutcome::OutOfDate:
        retryLater("the platform rejected the token or the server", now);
        break;
    case PromotionOutcome::Refused:
        retryLater("the platform accepts no orders at present", now);
        break;
    case PromotionOutcome::Unknown:
        // A server that led before still leads. ChangeTrigger starts another change later.
        if (m_wasChosenPrimary)
            finish("the primary answers, but the platform doesn't");
        else
            retryLater("the platform didn't answer", now);
        break;
    }
    return takeActions();
}

// Waits until each accepted order of the primary has taken effect: after another change it would
// depose the next primary. The others replicate meanwhile.
void SemiSyncChange::settle(TimePoint now)
{
    m_openOrders = {m_chosen};
    m_result = m_chosen;
    resumeOthers();
    m_why = "the server leads, and another order for it may take effect";
    enter(Step::Settling, now, MaxPromoteTime);
}

void SemiSyncChange::confirm(TimePoint now)
{
    enter(Step::Confirming, now, ConfirmTime);
    queryChosen(now);
}

void SemiSyncChange::queryChosen(TimePoint now)
{
    m_progress[m_chosen].isAnswered = false;
    m_actions.emplace_back(QueryStatus {m_chosen});
    m_wakeAt = std::min(m_deadline, now + QueryInterval);
}

bool SemiSyncChange::isOnlyOpenOrder(const ServerId &server) const
{
    return std::all_of(m_openOrders.begin(), m_openOrders.end(),
                       [&server](const ServerId &ordered) { return ordered == server; });
}

// The chosen server reports that it leads: resumes all others, and ends the change.
void SemiSyncChange::finishPromoted(TimePoint now)
{
    if (m_isAccepted && m_isRepeated)
        return settle(now);
    m_result = m_chosen;
    resumeOthers();
    finish("the server leads");
}

void SemiSyncChange::resumeOthers()
{
    for (const auto &[other, progress] : m_progress) {
        if (other != m_chosen)
            m_actions.emplace_back(ResumeServer {other});
    }
}

SemiSyncChangeActions SemiSyncChange::onStatus(const ServerId &server,
                                               const ServerReplicationStatus &status, TimePoint now)
{
    const auto found = m_progress.find(server);
    if (found == m_progress.end() || m_step == Step::Over)
        return {};
    found->second = {status, true, false, false, false, found->second.isGuarded};
    switch (m_step) {
    case Step::Probing:
        if (hasEveryServerResponded())
            evaluateProbe(now);
        else
            shortenProbe(now);
        break;
    case Step::Holding:
        evaluateHolds(now);
        break;
    case Step::CatchingUp:
        if (server == m_chosen)
            evaluateCatchingUp(now);
        break;
    case Step::Ordering:
        // An open order for another server could still depose it after the held ones were resumed.
        if (server == m_chosen && status.isPrimary && !m_wasChosenPrimary && isOnlyOpenOrder(server))
            finishPromoted(now);
        break;
    case Step::Confirming:
        if (server == m_chosen && status.isPrimary)
            finishPromoted(now);
        break;
    default:
        break;
    }
    if (mustGuardOrders())
        guard(server);
    return takeActions();
}

SemiSyncChangeActions SemiSyncChange::onUnreachable(const ServerId &server, TimePoint now)
{
    const auto found = m_progress.find(server);
    if (found == m_progress.end())
        return {};
    found->second.isUnreachable = true;
    found->second.isAnswered = false;
    found->second.isAnswerDue = false;
    if (m_step == Step::Probing && hasEveryServerResponded())
        evaluateProbe(now);
    return takeActions();
}

SemiSyncChangeActions SemiSyncChange::onOverloaded(const ServerId &server, TimePoint now)
{
    const auto found = m_progress.find(server);
    if (found != m_progress.end())
        found->second.isOverloaded = true;
    return onUnreachable(server, now);
}

SemiSyncChangeActions SemiSyncChange::onGone(const ServerId &server, TimePoint now)
{
    const auto erased = std::erase_if(m_servers, [&server](const ChangeServer &known) {
        return known.server == server;
    });
    if (erased == 0 || m_step == Step::Over)
        return {};
    m_progress.erase(server);
    m_unknownSuccessors.insert(server);
    if (m_step == Step::Probing && hasEveryServerResponded())
        evaluateProbe(now);
    else if (server == m_chosen && isBeforeOrder())
        retryLater("the chosen server is gone", now);
    return takeActions();
}

SemiSyncChangeActions SemiSyncChange::onJoined(const ChangeServer &server, TimePoint now)
{
    if (covers(server.server) || m_step == Step::Over)
        return {};
    m_servers.push_back(server);
    m_progress[server.server] = {};
    m_progress[server.server].isAnswerDue = true;
    m_actions.emplace_back(QueryStatus {server.server});
    if (isBeforeOrder())
        retryLater(server.server.text() + " joined", now);
    return takeActions();
}

SemiSyncChangeActions SemiSyncChange::tick(TimePoint now)
{
    if (m_step == Step::Over || now < m_wakeAt)
        return {};
    if (now < m_deadline) {
        const bool isPolled = m_step == Step::CatchingUp || m_step == Step::Confirming
                || (m_step == Step::Ordering && !m_wasChosenPrimary);
        if (isPolled)
            queryChosen(now);
        guardOrders();
        m_wakeAt = std::min(m_deadline, now + QueryInterval);
        return takeActions();
    }
    switch (m_step) {
    case Step::Probing:
        evaluateProbe(now);
        break;
    case Step::Holding:
        retryLater("timeout: too few servers are held", now);
        break;
    case Step::CatchingUp:
        holdForLost(now);
        break;
    case Step::Reserving:
        retryLater("the control log assigned no token in time", now);
        break;
    case Step::Ordering:
        retryLater("timeout waiting for the platform's answer", now);
        break;
    case Step::Confirming:
        retryLater("timeout: the promoted server doesn't report that it leads", now);
        break;
    case Step::Settling:
        m_openOrders.clear();
        finish(m_wasChosenPrimary ? "the primary answers" : "the server leads");
        break;
    case Step::Waiting:
        probe(now);
        break;
    case Step::Over:
        break;
    }
    return takeActions();
}

void SemiSyncChange::retryLater(const std::string &why, TimePoint now)
{
    m_why = why;
    enter(Step::Waiting, now, RetryTime);
}

void SemiSyncChange::finish(const std::string &why)
{
    m_why = why;
    m_step = Step::Over;
    m_wakeAt = TimePoint::max();
}

} // namespace nutmegtide
