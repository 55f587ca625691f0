#pragma once

#include "unit/failover/fakegroup.h"

#include "nutmegtide/charts/chartlibrary.h"

#include <deque>
#include <functional>
#include <memory>

namespace nutmegtide::test {

inline std::vector<ServerId> serversNamed(const std::vector<std::string> &names)
{
    std::vector<ServerId> servers;
    for (const std::string &name : names)
        servers.emplace_back(name);
    return servers;
}

// Runs changes of primary against a fake group in virtual time. Messages to a server that is down
// or unreachable are lost.
//
//   ChangeRig rig({"s1", "s2", "s3"});
//   rig.kill("s1");
//   rig.begin("c1", ServerId("s1"));
//   CHECK(rig.runUntilOver());
class ChangeRig
{
public:
    explicit ChangeRig(const std::vector<std::string> &voters)
        : group(serversNamed(voters))
    {
        const std::vector<ServerId> ids = serversNamed(voters);
        ledger.apply(1, encode({GroupCommandKind::Adopt, database, 1, "", ids.front(), ids}));
    }

    void kill(const std::string &id) { group.servers.at(ServerId(id)).isUp = false; }
    void restart(const std::string &id)
    {
        group.servers.at(ServerId(id)).restart();
        group.servers.at(ServerId(id)).isUp = true;
    }

    // Appends a write to the logs of the listed servers, which hold it durably.
    void write(int number, const std::vector<std::string> &holders)
    {
        for (const std::string &id : holders) {
            FakeServer &server = group.servers.at(ServerId(id));
            server.log.push_back({server.term, number});
        }
    }

    void begin(const std::string &owner, std::optional<ServerId> suspect,
               const std::vector<std::string> &voters = {})
    {
        ChangeRequest request;
        request.database = database;
        request.owner = owner;
        request.suspect = std::move(suspect);
        request.voters = serversNamed(voters);
        change = std::make_unique<PrimaryChange>(charts.chart("primary_change"), ChangeTimings(),
                                                 request, record());
        add(change->start(now));
    }

    // Handles one message, or advances the time if the queue is empty.
    void step()
    {
        for (const auto &[id, server] : group.servers)
            group.replicate(id);
        if (queue.empty()) {
            now = std::max(now + 1ms, change->wakeAt().value_or(now));
            add(change->tick(now));
            return;
        }
        const ChangeAction action = queue.front();
        queue.pop_front();
        if (onAction)
            onAction(action);
        std::visit([this](const auto &message) { handle(message); }, action);
    }

    bool runUntilOver(Duration limit = 60s)
    {
        const TimePoint end = now + limit;
        while (!change->isOver() && now < end)
            step();
        return change->isPublished();
    }

    const GroupRecord &record() const { return *ledger.find(database); }
    FakeServer &primary() { return group.servers.at(record().primary); }
    bool hasSent(std::size_t actionIndex) const { return sent.count(actionIndex) != 0; }

    const DatabaseName database {"casks"};
    const ChartLibrary charts = ChartLibrary::embedded();
    FakeGroup group;
    GroupLedger ledger;
    std::unique_ptr<PrimaryChange> change;
    TimePoint now;
    std::set<ServerId> cut; // servers that control can't reach
    std::deque<ChangeAction> queue;
    std::set<std::size_t> sent; // variant indexes of the actions so far
    std::function<void(const ChangeAction &)> onAction; // called before each message

private:
    void add(const ChangeActions &actions)
    {
        for (const ChangeAction &action : actions) {
            sent.insert(action.index());
            queue.push_back(action);
        }
    }
    bool isReached(const ServerId &id) const
    {
        return group.servers.at(id).isUp && cut.count(id) == 0;
    }
    Term termOf(const ServerId &id) const { return group.servers.at(id).term; }

    void handle(const ProbeServer &message)
    {
        if (isReached(message.server)) {
            add(change->onProbed(message.server, group.servers.at(message.server).position(), now));
        }
    }
    void handle(const FenceServer &message)
    {
        if (!isReached(message.server))
            return;
        const auto reply = group.fence(message.server, message.term);
        add(reply ? change->onFenced(message.server, *reply, now)
                  : change->onStaleTerm(message.term, termOf(message.server), now));
    }
    void handle(const PromoteServer &message)
    {
        if (!isReached(message.server))
            return;
        const auto reply = group.promote(message);
        add(reply ? change->onPromoted(message.server, *reply, now)
                  : change->onStaleTerm(message.term, termOf(message.server), now));
    }
    void handle(const FollowServer &message)
    {
        if (isReached(message.server))
            group.follow(message);
    }
    void handle(const WatchBarrier &message)
    {
        group.replicate(message.server);
        if (isReached(message.server)) {
            add(change->onPosition(message.server, group.servers.at(message.server).position(),
                                   now));
        }
    }
    void handle(const ProposeGroup &message)
    {
        ledger.apply(2, encode(message.command));
        add(change->onCommitted(message.command, record(), now));
    }
    void handle(const RecordChangeEvent & /*message*/) { }
};

} // namespace nutmegtide::test
