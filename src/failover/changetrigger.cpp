#include "nutmegtide/failover/changetrigger.h"

#include <algorithm>
#include <set>

namespace nutmegtide {

namespace {

constexpr auto ComplaintLife = 1s; // a complaint that still holds is repeated sooner
constexpr auto MissingTime = 1500ms; // without any primary, before one is looked for
constexpr auto ListeningTime = 2500ms; // in which each server that lives announces itself
constexpr auto KnownListeningTime = 1300ms; // the same, where only newcomers may be missing
constexpr auto RestTime = 400ms; // between changes of one service
constexpr auto StubbornTime = 700ms; // of complaints about a primary that answers here
constexpr std::size_t LeastStubborn = 2; // entry VMs that complain for that long
constexpr int StubbornParts = 10; // at least this part of all entry VMs

} // namespace

void ChangeTrigger::lead(TimePoint listensSince)
{
    m_listensSince = listensSince;
    m_standings.clear();
}

void ChangeTrigger::complain(const EntryComplaint &complaint, TimePoint now)
{
    const std::string key = complaint.complainer + ' ' + complaint.service.text() + ' '
            + complaint.server.text();
    m_complaints[key] = {complaint, now};
}

std::optional<ServerId> ChangeTrigger::accused(const ServiceName &service,
                                               std::chrono::milliseconds since,
                                               std::size_t complainers, TimePoint now) const
{
    std::map<ServerId, std::size_t> counts;
    for (const auto &[key, heard] : m_complaints) {
        const bool isRecent = now - heard.at < ComplaintLife;
        if (heard.complaint.service == service && isRecent && heard.complaint.since >= since)
            ++counts[heard.complaint.server];
    }
    for (const auto &[server, count] : counts) {
        if (count >= complainers)
            return server;
    }
    return std::nullopt;
}

// A primary that loses some answers leaves a few of many entry VMs without one for a while.
std::size_t ChangeTrigger::stubbornComplainers() const
{
    const auto part = static_cast<std::size_t>((m_entryCount + StubbornParts - 1) / StubbornParts);
    return std::max(LeastStubborn, part);
}

std::optional<ChangeWish> ChangeTrigger::wish(const ServiceName &service,
                                              const std::vector<ServerRecord> &servers,
                                              const RosterView &roster, TimePoint now)
{
    // A server that wasn't heard of yet would be left out of the fence.
    if (now - m_listensSince < (roster.servers.empty() ? ListeningTime : KnownListeningTime))
        return std::nullopt;
    Standing &standing = m_standings[service];
    if (now - standing.endedAt < RestTime || servers.empty())
        return std::nullopt;
    ChangeWish wish;
    const ServerRecord *primary = nullptr;
    bool isReplacementThere = false;
    for (const ServerRecord &record : servers) {
        wish.servers.push_back({record.said.server, record.said.isLeaving});
        const bool isKnownLeader = record.said.server == standing.primary;
        if (record.said.isPrimary && (primary == nullptr || isKnownLeader))
            primary = &record;
        if (!record.said.isPrimary && !record.said.isLeaving)
            isReplacementThere = true;
    }
    for (const ServerId &server : roster.servers) {
        const bool isNamed = std::any_of(wish.servers.begin(), wish.servers.end(),
                                         [&server](const ChangeServer &named) {
                                             return named.server == server;
                                         });
        if (!isNamed)
            wish.servers.push_back({server, true});
    }
    if (primary != nullptr)
        standing.primaryMissingSince.reset();
    else if (!standing.primaryMissingSince)
        standing.primaryMissingSince = now;
    if (!standing.isLooked) {
        wish.why = "this VM has begun to lead control";
        return wish;
    }
    if (primary == nullptr) {
        wish.why = "no server says that it leads";
        if (now - *standing.primaryMissingSince >= MissingTime)
            return wish;
        return std::nullopt;
    }
    if (primary->said.isLeaving && isReplacementThere) {
        wish.reason = ChangeReason::Moved;
        wish.from = primary->said.server;
        wish.why = "the primary leaves";
        return wish;
    }
    const auto stubborn = accused(service, StubbornTime, stubbornComplainers(), now);
    if (stubborn == primary->said.server) {
        wish.reason = ChangeReason::Moved;
        wish.from = *stubborn;
        wish.why = "entry VMs can't use the primary";
        return wish;
    }
    const auto accusedServer = accused(service, 0ms, 1, now);
    if (accusedServer == primary->said.server) {
        wish.why = "an entry VM can't use the primary";
        return wish;
    }
    if (roster.hasOpenOrders) {
        wish.why = "an earlier order may still be carried out";
        return wish;
    }
    return std::nullopt;
}

void ChangeTrigger::ended(const ServiceName &service, const ServerId &primary, TimePoint now)
{
    Standing &standing = m_standings[service];
    standing.isLooked = true;
    standing.endedAt = now;
    standing.primary = primary;
    standing.primaryMissingSince.reset();
    std::erase_if(m_complaints, [&service](const auto &item) {
        return item.second.complaint.service == service;
    });
}

} // namespace nutmegtide
