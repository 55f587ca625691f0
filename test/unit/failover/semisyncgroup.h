#pragma once

#include "nutmegtide/failover/departuretracker.h"
#include "nutmegtide/failover/semisyncchange.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace nutmegtide::test {

// A model of a group with semi-synchronous replication: the primary acknowledges a commit once one
// replica has received it, and promotion orders may be carried out late. It records which commits
// were acknowledged, and counts those that a promotion loses.
struct SemiSyncGroup
{
    struct Server
    {
        bool isUp = true;
        bool isReached = true; // control can reach it
        bool receives = true; // it receives from the primary
        bool isPrimary = false;
        Term term = 1;
        Term heldTerm = 0;
        std::vector<LogPosition> log;
        bool isAnnounced = true; // control has heard of it
    };
    struct Order
    {
        ServerId server;
        std::uint64_t token = 0;
        TimePoint due; // when it is carried out
    };
    // Checks an order's token as it arrives. It takes effect by takeEffect(), perhaps later.
    PromotionOutcome accept(const Order &order)
    {
        const auto ordered = servers.find(order.server);
        if (order.token < highestToken || ordered == servers.end() || !ordered->second.isUp)
            return PromotionOutcome::OutOfDate;
        highestToken = order.token;
        return PromotionOutcome::Accepted;
    }

    explicit SemiSyncGroup(int count)
    {
        for (int i = 0; i < count; ++i)
            servers[ServerId("s" + std::to_string(i + 1))] = {};
        primary = servers.begin()->first;
        servers.begin()->second.isPrimary = true;
    }

    void commit()
    {
        if (servers.count(primary) == 0)
            return;
        Server &leader = servers.at(primary);
        if (!leader.isUp || !leader.isPrimary)
            return;
        const std::uint64_t next = leader.log.empty() ? 1 : leader.log.back().index + 1;
        leader.log.push_back({leader.term, next});
        bool isReceived = false;
        for (auto &[id, server] : servers) {
            if (id == primary || !server.isUp || !server.receives || server.heldTerm != 0)
                continue;
            // Every log is a prefix of the primary's, since a promotion truncates the other logs to
            // the length of the promoted server's.
            const auto held = static_cast<std::ptrdiff_t>(server.log.size());
            server.log.insert(server.log.end(), leader.log.begin() + held, leader.log.end());
            isReceived = true;
        }
        // Commits that waited for a replica are acknowledged with the next one that is received.
        for (auto entry = leader.log.rbegin(); isReceived && entry != leader.log.rend(); ++entry) {
            if (!acknowledged.insert(*entry).second)
                break;
        }
    }
    std::optional<ServerReplicationStatus> statusOf(const ServerId &id) const
    {
        const auto found = servers.find(id);
        if (found == servers.end() || !found->second.isUp || !found->second.isReached)
            return std::nullopt;
        const Server &server = found->second;
        const LogPosition last = server.log.empty() ? LogPosition {} : server.log.back();
        return ServerReplicationStatus {server.isPrimary, server.term, last, server.heldTerm, 0};
    }
    void hold(const ServerId &id, Term term)
    {
        if (servers.count(id) == 0)
            return;
        Server &server = servers.at(id);
        if (server.isUp && server.isReached && !server.isPrimary && term > server.term)
            server.heldTerm = std::max(server.heldTerm, term);
    }
    void demote(const ServerId &id, Term term)
    {
        if (servers.count(id) == 0)
            return;
        Server &server = servers.at(id);
        if (server.isUp && server.isReached && term > server.term)
            server.isPrimary = false;
    }
    void resume(const ServerId &id)
    {
        if (servers.count(id) == 0)
            return;
        Server &server = servers.at(id);
        if (server.isUp && server.isReached)
            server.heldTerm = 0;
    }
    // The server ends, and its log with it.
    void depart(const ServerId &id)
    {
        departed.insert(id);
        servers.erase(id); // `id` may be the key of this entry
    }
    // Another server takes over the log and the address of a replica that leaves.
    ServerId replace(const ServerId &id)
    {
        const ServerId successor(
                "s" + std::to_string(servers.size() + replaced.size() + departed.size() + 1));
        Server server = servers.at(id);
        server.isUp = true;
        server.heldTerm = 0;
        server.isAnnounced = false;
        replaced[id] = successor;
        servers.erase(id); // `id` may be the key of this entry
        servers[successor] = server;
        return successor;
    }
    // A new server starts; it receives the whole log with the next commit.
    ServerId join()
    {
        const ServerId joined("s" + std::to_string(servers.size() + replaced.size() + 1));
        Server server;
        server.term = servers.at(primary).term;
        server.isAnnounced = false;
        servers[joined] = server;
        return joined;
    }
    // Carries out an accepted order, and counts the acknowledged commits that the server lacks.
    void takeEffect(const ServerId &promoted)
    {
        const auto ordered = servers.find(promoted);
        if (ordered == servers.end() || !ordered->second.isUp)
            return;
        Server &chosen = ordered->second;
        if (promoted == primary && chosen.isPrimary)
            return;
        for (const LogPosition &commit : acknowledged) {
            if (std::find(chosen.log.begin(), chosen.log.end(), commit) == chosen.log.end())
                ++lost;
        }
        Term term = 0;
        for (const auto &[id, server] : servers)
            term = std::max(term, server.term);
        for (auto &[id, server] : servers) {
            server.isPrimary = id == promoted;
            server.term = term + 1;
            server.heldTerm = 0;
            if (server.log.size() > chosen.log.size())
                server.log = chosen.log;
        }
        primary = promoted;
    }

    std::map<ServerId, Server> servers;
    std::map<ServerId, ServerId> replaced; // successors by the servers that are gone
    std::set<ServerId> departed;
    ServerId primary;
    std::set<LogPosition> acknowledged;
    std::uint64_t highestToken = 0;
    int lost = 0;
};

// Drives changes of primary against a SemiSyncGroup in virtual time.
class SemiSyncRig
{
public:
    SemiSyncRig(int servers, unsigned seed)
        : group(servers)
        , generator(seed)
    { }

    void begin(ChangeReason reason, const ServerId &from = {}, bool isNewLeader = false)
    {
        std::vector<ChangeServer> servers;
        for (const auto &[id, server] : group.servers) {
            if (server.isAnnounced)
                servers.push_back({id, id == from});
        }
        // The roster keeps the places of servers whose successors aren't known.
        for (const auto &[gone, successor] : group.replaced) {
            const auto found = group.servers.find(successor);
            if (found != group.servers.end() && !found->second.isAnnounced)
                servers.push_back({gone, true});
        }
        if (isNewLeader)
            departures = {};
        updateDepartures();
        for (const auto &[server, notedAt] : departures.uncovered())
            servers.push_back({server, true, true});
        if (change && !isNewLeader && !change->hasOpenOrders())
            openOrders.clear();
        change.emplace(reason, servers, from);
        change->setOpenOrders(openOrders, isNewLeader ? now : orderedAt);
        perform(change->start(now));
    }
    // Advances the time by one step: a commit, the orders due, answers that time out, and a tick.
    void step()
    {
        now += 10ms;
        group.commit();
        askForDepartures();
        for (auto order = lateOrders.begin(); order != lateOrders.end();) {
            if (order->due > now) {
                ++order;
                continue;
            }
            promote(*order);
            order = lateOrders.erase(order);
        }
        for (auto accepted = m_accepted.begin(); accepted != m_accepted.end();) {
            if (accepted->due > now) {
                ++accepted;
                continue;
            }
            group.takeEffect(accepted->server);
            accepted = m_accepted.erase(accepted);
        }
        for (auto order = overdue.begin(); order != overdue.end();) {
            if (order->due > now) {
                ++order;
                continue;
            }
            const std::uint64_t unanswered = order->token;
            order = overdue.erase(order);
            if (change)
                perform(change->onPromotionAnswered(unanswered, PromotionOutcome::Unknown, now));
        }
        if (change && !change->isOver())
            perform(change->tick(now));
    }
    // Control hears the announcement of a server that has replaced another one.
    void announce(const ServerId &server)
    {
        group.servers.at(server).isAnnounced = true;
        if (!change)
            return;
        perform(change->onJoined({server, false}, now));
        for (const auto &[gone, successor] : group.replaced) {
            if (successor == server)
                change->onSuccessorKnown(gone);
        }
    }
    // Returns whether an order may still take effect.
    bool hasOrderInProgress() const { return !lateOrders.empty() || !m_accepted.empty(); }
    bool runUntilOver(Duration limit)
    {
        const TimePoint until = now + limit;
        while (now < until && !change->isOver())
            step();
        return change->isOver();
    }

    SemiSyncGroup group;
    std::mt19937 generator;
    std::optional<SemiSyncChange> change;
    DepartureTracker departures;
    std::set<ServerId> covered; // removed from the roster
    bool forgetsDepartures = false; // a server that departs is removed from the roster at once
    std::vector<SemiSyncGroup::Order> lateOrders;
    std::vector<SemiSyncGroup::Order> overdue; // orders whose answers are lost
    bool losesAnswers = false; // answers to some orders are lost, and these are carried out late
    Duration promoteTime {}; // from the acceptance of an order until it takes effect
    std::uint64_t token = 0;
    std::set<ServerId> openOrders; // as stored in the control log
    int orders = 0;
    TimePoint orderedAt {};
    TimePoint now {10s};

    static constexpr Duration OrderTimeout = 1500ms;

private:
    PromotionOutcome promote(const SemiSyncGroup::Order &order)
    {
        const PromotionOutcome outcome = group.accept(order);
        if (outcome != PromotionOutcome::Accepted)
            return outcome;
        if (promoteTime == Duration::zero())
            group.takeEffect(order.server);
        else
            m_accepted.push_back({order.server, order.token, now + promoteTime});
        return outcome;
    }
    void perform(const SemiSyncChangeActions &actions)
    {
        for (const SemiSyncChangeAction &action : actions)
            std::visit([this](const auto &kind) { perform(kind); }, action);
    }
    void updateDepartures()
    {
        std::set<ServerId> present;
        for (const auto &[id, server] : group.servers) {
            if (server.isAnnounced)
                present.insert(id);
        }
        std::set<ServerId> listed;
        for (const ServerId &id : group.departed) {
            if (!forgetsDepartures && covered.count(id) == 0)
                listed.insert(id);
        }
        departures.setServers(present, listed, now);
        for (const auto &[id, notedAt] : departures.uncovered()) {
            if (change)
                perform(change->onDeparted(id, now));
        }
    }
    void askForDepartures()
    {
        updateDepartures();
        for (const QueryStatus &query : departures.tick(now)) {
            if (const auto status = group.statusOf(query.server))
                noteStatus(query.server, *status);
        }
    }
    void noteStatus(const ServerId &server, const ServerReplicationStatus &status)
    {
        for (const CoveredDeparture &departure : departures.onStatus(server, status, now, now)) {
            covered.insert(departure.server);
            if (change)
                change->onCovered(departure.server);
        }
    }
    void reportStatus(const ServerId &server)
    {
        const auto successor = group.replaced.find(server);
        if (successor != group.replaced.end()) {
            const auto found = group.servers.find(successor->second);
            const bool isAddressReached = found != group.servers.end() && found->second.isReached;
            perform(isAddressReached ? change->onGone(server, now)
                                     : change->onUnreachable(server, now));
            return;
        }
        const auto status = group.statusOf(server);
        if (status)
            noteStatus(server, *status);
        perform(status ? change->onStatus(server, *status, now)
                       : change->onUnreachable(server, now));
    }
    void perform(const QueryStatus &action) { reportStatus(action.server); }
    void perform(const HoldServer &action)
    {
        group.hold(action.server, action.term);
        reportStatus(action.server);
    }
    void perform(const DemoteServer &action)
    {
        group.demote(action.server, action.term);
        reportStatus(action.server);
    }
    void perform(const ResumeServer &action) { group.resume(action.server); }
    void perform(const ReserveToken &action)
    {
        openOrders.insert(action.server);
        perform(change->onToken(++token, now));
    }
    void perform(const OrderPromotion &action)
    {
        ++orders;
        orderedAt = now;
        const SemiSyncGroup::Order order {action.server, action.token,
                                          now + std::chrono::seconds(2 + generator() % 10)};
        if (losesAnswers && generator() % 2 == 0) {
            lateOrders.push_back(order);
            overdue.push_back({action.server, action.token, now + OrderTimeout});
            return;
        }
        perform(change->onPromotionAnswered(action.token, promote(order), now));
    }

    std::vector<SemiSyncGroup::Order> m_accepted; // due when they take effect
};

inline SemiSyncGroup::Server &server(SemiSyncRig &rig, int number)
{
    return rig.group.servers.at(ServerId("s" + std::to_string(number)));
}

} // namespace nutmegtide::test
