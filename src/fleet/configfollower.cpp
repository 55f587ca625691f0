#include "nutmegtide/fleet/configfollower.h"

#include "nutmegtide/settings/loader.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto PersistRetryInterval = 1s;
// Bounds of the random factor of digestInterval, which spreads the requests over time.
constexpr double MinIntervalFactor = 0.75;
constexpr double MaxIntervalFactor = 1.25;

} // namespace

ConfigFollower::ConfigFollower(const Options &options, ConfigRevision persisted, TimePoint now,
                               std::uint64_t seed)
    : m_options(options)
    , m_catchUpEnd(now + m_options.catchUpTime)
    , m_random(seed)
    , m_latest(std::move(persisted))
    , m_persisted(m_latest.revision)
    , m_nextRequestAt(now)
    , m_nextPersistAt(now)
{ }

ConfigActions ConfigFollower::onPush(const ConfigRevision &revision,
                                     const std::vector<VmName> &onward)
{
    ConfigActions actions = {};
    adopt(revision, actions);
    // Forwards even a revision that is already known here, since the VMs in `onward` may lack it.
    const ConfigActions pushes = forward(onward);
    actions.insert(actions.end(), pushes.begin(), pushes.end());
    return actions;
}

ConfigActions ConfigFollower::onPage(const VmName &peer, const ConfigRevision &latest)
{
    ConfigActions actions;
    adopt(latest, actions);
    if (m_isCaughtUp)
        return actions;
    m_answered.insert(peer);
    if (m_answered.size() >= m_options.requiredAnswers)
        finishCatchUp(actions);
    return actions;
}

ConfigActions ConfigFollower::onAccepted(const ConfigRevision &revision)
{
    ConfigActions actions;
    adopt(revision, actions);
    return actions;
}

void ConfigFollower::onPersisted(Revision revision)
{
    m_persisted = std::max(m_persisted, revision);
}

ConfigActions ConfigFollower::onPushFailed(const PushConfig &push) const
{
    if (push.onward.empty())
        return {};
    const std::vector<VmName> rest(push.onward.begin() + 1, push.onward.end());
    return {PushConfig {push.onward.front(), m_latest, rest}};
}

ConfigActions ConfigFollower::publish(const std::vector<ConfigPeer> &peers) const
{
    if (m_latest.revision == 0)
        return {};
    std::vector<FanOutMember> members;
    for (const ConfigPeer &peer : peers)
        members.push_back({peer.vm, peer.failureDomain});
    return forward(pushOrder(std::move(members), m_latest.revision));
}

ConfigActions ConfigFollower::tick(TimePoint now, const std::vector<ConfigPeer> &peers)
{
    ConfigActions actions;
    const bool isCatchUpOver = m_options.requiredAnswers == 0 || now >= m_catchUpEnd;
    if (!m_isCaughtUp && isCatchUpOver)
        finishCatchUp(actions);
    if (m_persisted < m_latest.revision && now >= m_nextPersistAt) {
        m_nextPersistAt = now + PersistRetryInterval;
        actions.emplace_back(PersistConfig {m_latest});
    }
    if (now < m_nextRequestAt)
        return actions;
    if (m_isCaughtUp) {
        requestFromRandomPeer(now, peers, actions);
    } else {
        requestFromControlVms(now, peers, actions);
    }
    return actions;
}

ConfigRevision ConfigFollower::pageAfter(Revision after) const
{
    return m_latest.revision > after ? m_latest : ConfigRevision();
}

void ConfigFollower::adopt(const ConfigRevision &revision, ConfigActions &actions)
{
    if (revision.revision <= m_latest.revision)
        return;
    m_latest = revision;
    actions.emplace_back(PersistConfig {m_latest});
    if (m_isCaughtUp)
        applyLatest(actions);
}

void ConfigFollower::applyLatest(ConfigActions &actions)
{
    if (m_latest.revision <= m_highestParsed)
        return;
    m_highestParsed = m_latest.revision;
    try {
        actions.emplace_back(ApplyConfig {m_latest.revision, parseFleetSettings(m_latest.toml)});
        m_inForce = m_latest.revision;
    } catch (const SettingsError &error) {
        actions.emplace_back(ReportUnreadableConfig {m_latest.revision, error.what()});
    }
}

ConfigActions ConfigFollower::forward(const std::vector<VmName> &onward) const
{
    ConfigActions actions;
    for (FanOutPart &part : fanOut(onward))
        actions.emplace_back(PushConfig {part.receiver, m_latest, std::move(part.onward)});
    return actions;
}

void ConfigFollower::finishCatchUp(ConfigActions &actions)
{
    m_isCaughtUp = true;
    m_answered.clear();
    applyLatest(actions);
}

void ConfigFollower::requestFromControlVms(TimePoint now, const std::vector<ConfigPeer> &peers,
                                           ConfigActions &actions)
{
    for (const ConfigPeer &peer : peers) {
        if (!peer.isControl || m_answered.count(peer.vm) != 0)
            continue;
        actions.emplace_back(RequestConfig {peer.vm, m_latest.revision});
        m_nextRequestAt = now + m_options.catchUpInterval;
    }
}

void ConfigFollower::requestFromRandomPeer(TimePoint now, const std::vector<ConfigPeer> &peers,
                                           ConfigActions &actions)
{
    std::uniform_real_distribution<double> factor(MinIntervalFactor, MaxIntervalFactor);
    const auto interval = m_options.digestInterval * factor(m_random);
    m_nextRequestAt = now + std::chrono::duration_cast<Duration>(interval);
    if (peers.empty())
        return;
    std::uniform_int_distribution<std::size_t> index(0, peers.size() - 1);
    actions.emplace_back(RequestConfig {peers[index(m_random)].vm, m_latest.revision});
}

} // namespace nutmegtide
