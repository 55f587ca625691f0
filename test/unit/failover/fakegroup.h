#pragma once

#include "nutmegtide/failover/primarychange.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide::test {

struct FakeEntry
{
    Term term = 0;
    int write = 0; // 0 for a barrier

    bool operator==(const FakeEntry &) const = default;
};

// A model of one backend server as specified in docs/BACKENDS.md, without time or sockets.
struct FakeServer
{
    Term term = 1;
    ServerRole role = ServerRole::Replica;
    std::optional<ServerId> source;
    std::vector<FakeEntry> log {{1, 0}};
    std::vector<ServerId> voters;
    bool isUp = true;

    LogPosition last() const
    {
        return log.empty() ? LogPosition() : LogPosition {log.back().term, log.size()};
    }
    PositionReply position() const { return {term, role, last(), last()}; }
    bool holds(int write) const
    {
        for (const FakeEntry &entry : log) {
            if (entry.write == write)
                return true;
        }
        return false;
    }
    void takeTerm(Term next)
    {
        term = next;
        role = ServerRole::Replica;
        source.reset();
    }
    // Keeps the log and the term, but no longer leads or follows.
    void restart()
    {
        role = ServerRole::Replica;
        source.reset();
    }
};

// A database group of the given voters, of which the first is the primary of term 1.
struct FakeGroup
{
    std::map<ServerId, FakeServer> servers;
    std::map<Term, ServerId> primaries; // by term, to detect two primaries in one term

    explicit FakeGroup(const std::vector<ServerId> &voters)
    {
        for (const ServerId &id : voters) {
            servers[id].source = voters.front();
            servers[id].voters = voters;
        }
        servers.at(voters.front()).role = ServerRole::Primary;
        servers.at(voters.front()).source.reset();
        primaries[1] = voters.front();
    }

    // fence() and promote() return nothing if the server refuses the call, for example because it
    // has accepted a higher term.
    std::optional<FenceReply> fence(const ServerId &id, Term term)
    {
        FakeServer &server = servers.at(id);
        if (term < server.term)
            return std::nullopt;
        if (term > server.term)
            server.takeTerm(term);
        return FenceReply {term, server.last(), server.last()};
    }

    std::optional<PromoteReply> promote(const PromoteServer &order)
    {
        FakeServer &server = servers.at(order.server);
        if (order.term < server.term)
            return std::nullopt;
        if (order.term > server.term || server.role != ServerRole::Primary) {
            const bool hasOther = order.term == server.term
                    && (server.source || server.last().term == order.term);
            if (hasOther)
                return std::nullopt;
            server.takeTerm(order.term);
            server.role = ServerRole::Primary;
            server.voters = order.voters;
            server.log.push_back({order.term, 0});
            hasTwoPrimariesInTerm = hasTwoPrimariesInTerm
                    || primaries.try_emplace(order.term, order.server).first->second
                            != order.server;
        }
        std::uint64_t index = server.log.size();
        while (index > 1 && server.log[index - 2].term == order.term)
            --index;
        return PromoteReply {order.term, {order.term, index}};
    }

    void follow(const FollowServer &order)
    {
        FakeServer &server = servers.at(order.server);
        const bool isLeading = order.term == server.term && server.role == ServerRole::Primary;
        if (order.term < server.term || isLeading)
            return;
        server.takeTerm(order.term);
        server.source = order.primary;
        server.voters = order.voters;
    }

    // Copies the log of the server's primary, if reachable. Returns whether the log changed.
    bool replicate(const ServerId &id)
    {
        FakeServer &server = servers.at(id);
        if (!server.isUp || !server.source)
            return false;
        const FakeServer &primary = servers.at(*server.source);
        const bool isServing = primary.isUp && primary.term == server.term
                && primary.role == ServerRole::Primary;
        if (!isServing || server.log == primary.log)
            return false;
        server.log = primary.log;
        return true;
    }

    bool hasTwoPrimariesInTerm = false;
};

} // namespace nutmegtide::test
