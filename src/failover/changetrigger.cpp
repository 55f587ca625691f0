#include "nutmegtide/failover/changetrigger.h"

#include <algorithm>
#include <set>

namespace nutmegtide {

namespace {

constexpr auto ComplaintLifetime = 1s; // a complaint that still applies is repeated sooner
constexpr auto MissingPrimaryTime = 1500ms; // without any primary, before a change starts
constexpr auto AnnouncementTime = 2500ms; // in which each live server announces itself
constexpr auto RosterAnnouncementTime = 1300ms; // the same, if only new servers may be missing
constexpr auto MinTimeBetweenChanges = 400ms; // of one service
// From this age on a complaint is persistent: the primary may answer control, but not entry VMs.
constexpr auto PersistentComplaintTime = 700ms;
constexpr std::size_t MinPersistentComplainers = 2; // entry VMs, however few there are
constexpr int EntryVmsPerComplainer = 10; // at least one of so many must complain

} // namespace

void ChangeTrigger::startLeading(TimePoint listensSince)
{
    m_listensSince = listensSince;
    m_serviceStates.clear();
}

void ChangeTrigger::complain(const EntryComplaint &complaint, TimePoint now)
{
    const std::string key = complaint.complainer + ' ' + complaint.service.text() + ' '
            + complaint.server.text();
    m_complaints[key] = {complaint, now};
}

std::optional<ServerId> ChangeTrigger::complainedServer(const ServiceName &service,
                                                        std::chrono::milliseconds since,
                                                        std::size_t complainers,
                                                        TimePoint now) const
{
    std::map<ServerId, std::size_t> counts;
    for (const auto &[key, received] : m_complaints) {
        const bool isRecent = now - received.at < ComplaintLifetime;
        if (received.complaint.service == service && isRecent && received.complaint.since >= since)
            ++counts[received.complaint.server];
    }
    for (const auto &[server, count] : counts) {
        if (count >= complainers)
            return server;
    }
    return std::nullopt;
}

// If a primary loses some answers, a few of many entry VMs get none for a while, so the number
// grows with that of the entry VMs.
std::size_t ChangeTrigger::requiredPersistentComplainers() const
{
    const auto part = static_cast<std::size_t>((m_entryCount + EntryVmsPerComplainer - 1)
                                               / EntryVmsPerComplainer);
    return std::max(MinPersistentComplainers, part);
}

std::optional<NeededChange> ChangeTrigger::neededChange(const ServiceName &service,
                                                        const std::vector<ServerRecord> &servers,
                                                        const RosterView &roster, TimePoint now)
{
    // A server that hasn't announced itself yet would not be fenced.
    if (now - m_listensSince < (roster.servers.empty() ? AnnouncementTime : RosterAnnouncementTime))
        return std::nullopt;
    ServiceState &state = m_serviceStates[service];
    if (now - state.endedAt < MinTimeBetweenChanges || servers.empty())
        return std::nullopt;
    NeededChange neededChange;
    const ServerRecord *primary = nullptr;
    bool hasReplacement = false;
    for (const ServerRecord &record : servers) {
        neededChange.servers.push_back({record.announcement.server, record.announcement.isLeaving});
        const bool isKnownLeader = record.announcement.server == state.primary;
        if (record.announcement.isPrimary && (primary == nullptr || isKnownLeader))
            primary = &record;
        if (!record.announcement.isPrimary && !record.announcement.isLeaving)
            hasReplacement = true;
    }
    for (const ServerId &server : roster.servers) {
        const bool isNamed = std::any_of(neededChange.servers.begin(), neededChange.servers.end(),
                                         [&server](const ChangeServer &named) {
                                             return named.server == server;
                                         });
        if (!isNamed)
            neededChange.servers.push_back({server, true, roster.departed.count(server) != 0});
    }
    if (primary != nullptr)
        state.primaryMissingSince.reset();
    else if (!state.primaryMissingSince)
        state.primaryMissingSince = now;
    if (!state.wasInspected) {
        neededChange.why = "this VM has become control leader";
        return neededChange;
    }
    if (primary == nullptr) {
        neededChange.why = "no server claims to be primary";
        if (now - *state.primaryMissingSince >= MissingPrimaryTime)
            return neededChange;
        return std::nullopt;
    }
    if (primary->announcement.isLeaving && hasReplacement) {
        neededChange.reason = ChangeReason::Moved;
        neededChange.from = primary->announcement.server;
        neededChange.why = "the primary is leaving";
        return neededChange;
    }
    const auto persistent = complainedServer(service, PersistentComplaintTime,
                                             requiredPersistentComplainers(), now);
    if (persistent == primary->announcement.server) {
        neededChange.reason = ChangeReason::Moved;
        neededChange.from = *persistent;
        neededChange.why = "several entry VMs can't use the primary";
        return neededChange;
    }
    const auto complained = complainedServer(service, 0ms, 1, now);
    if (complained == primary->announcement.server) {
        neededChange.why = "an entry VM can't use the primary";
        return neededChange;
    }
    if (roster.hasOpenOrders) {
        neededChange.why = "an earlier order may still be carried out";
        return neededChange;
    }
    return std::nullopt;
}

void ChangeTrigger::onChangeEnded(const ServiceName &service, const ServerId &primary, TimePoint now)
{
    ServiceState &state = m_serviceStates[service];
    state.wasInspected = true;
    state.endedAt = now;
    state.primary = primary;
    state.primaryMissingSince.reset();
    std::erase_if(m_complaints, [&service](const auto &item) {
        return item.second.complaint.service == service;
    });
}

} // namespace nutmegtide
