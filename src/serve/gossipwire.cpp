#include "serve/gossipwire.h"

#include "nutmegtide/base/errors.h"

namespace nutmegtide {

namespace {

MemberState stateFromWire(wire::MemberState::type state)
{
    switch (state) {
    case wire::MemberState::ALIVE:
        return MemberState::Alive;
    case wire::MemberState::SUSPECT:
        return MemberState::Suspect;
    case wire::MemberState::DEAD:
        return MemberState::Dead;
    case wire::MemberState::LEFT:
        return MemberState::Left;
    }
    throw MessageError("a member without a state");
}

wire::MemberState::type stateToWire(MemberState state)
{
    static constexpr wire::MemberState::type States[] = {wire::MemberState::ALIVE,
                                                         wire::MemberState::SUSPECT,
                                                         wire::MemberState::DEAD,
                                                         wire::MemberState::LEFT};
    return States[static_cast<std::size_t>(state)];
}

std::vector<wire::MemberUpdate> withSender(const Member &sender, const std::vector<Member> &updates)
{
    std::vector<wire::MemberUpdate> all {toWire(sender)};
    for (const Member &member : updates)
        all.push_back(toWire(member));
    return all;
}

// Returns the updates past the sender's own.
std::vector<Member> splitSender(const std::vector<wire::MemberUpdate> &all, Member &sender)
{
    if (all.empty())
        throw MessageError("gossip without its sender");
    sender = fromWire(all.front());
    std::vector<Member> updates;
    for (std::size_t at = 1; at < all.size(); ++at)
        updates.push_back(fromWire(all[at]));
    return updates;
}

} // namespace

wire::MemberUpdate toWire(const Member &member)
{
    wire::MemberUpdate update;
    update.vm = member.vm.text();
    update.failureDomain = member.failureDomain.text();
    update.peerEndpoint = toString(member.peers);
    update.callerEndpoint = toString(member.callers);
    update.incarnation = static_cast<std::int64_t>(member.incarnation);
    update.version = static_cast<std::int64_t>(member.version);
    update.state = stateToWire(member.state);
    update.isControl = member.isControl;
    update.isDraining = member.isDraining;
    update.revision = static_cast<std::int64_t>(member.revision);
    return update;
}

Member fromWire(const wire::MemberUpdate &update)
{
    Member member;
    member.vm = VmName(update.vm);
    member.failureDomain = FailureDomain(update.failureDomain);
    member.peers = parseEndpoint(update.peerEndpoint);
    member.callers = parseEndpoint(update.callerEndpoint);
    member.incarnation = static_cast<Incarnation>(update.incarnation);
    member.version = static_cast<std::uint64_t>(update.version);
    member.state = stateFromWire(update.state);
    member.isControl = update.isControl;
    member.isDraining = update.isDraining;
    member.revision = static_cast<Revision>(update.revision);
    return member;
}

wire::Gossip toWire(const GossipMessage &message)
{
    wire::Gossip wired;
    wired.updates = withSender(message.sender, message.updates);
    wired.probeTarget = message.probeTarget.text();
    wired.wantsAll = message.wantsPage;
    wired.pageAfter = message.pageAfter.text();
    wired.digest = static_cast<std::int64_t>(message.digest);
    return wired;
}

GossipMessage fromWire(const wire::Gossip &message)
{
    GossipMessage read;
    read.updates = splitSender(message.updates, read.sender);
    read.probeTarget = VmName(message.probeTarget);
    read.wantsPage = message.wantsAll;
    read.pageAfter = VmName(message.pageAfter);
    read.digest = static_cast<std::uint64_t>(message.digest);
    return read;
}

wire::GossipReply toWire(const GossipReply &reply)
{
    wire::GossipReply wired;
    wired.isAlive = reply.isAlive;
    wired.updates = withSender(reply.sender, reply.updates);
    wired.pageEnd = reply.pageEnd.text();
    return wired;
}

GossipReply fromWire(const wire::GossipReply &reply)
{
    GossipReply read;
    read.updates = splitSender(reply.updates, read.sender);
    read.isAlive = reply.isAlive;
    read.pageEnd = VmName(reply.pageEnd);
    return read;
}

} // namespace nutmegtide
