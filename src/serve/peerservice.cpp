#include "serve/peerservice.h"

#include "serve/wireconvert.h"

namespace nutmegtide {

namespace {

[[noreturn]] void refuse(wire::RefusalKind::type kind, const std::string &message)
{
    wire::PeerRefusal refusal;
    refusal.kind = kind;
    refusal.message = message;
    throw refusal;
}

} // namespace

PeerService::PeerService(const Identity &identity, Membership &membership, StatementRunner &home,
                         HeaderSource headerSource)
    : m_identity(identity)
    , m_membership(membership)
    , m_home(home)
    , m_headerSource(std::move(headerSource))
{ }

void PeerService::check(const wire::Header &header)
{
    if (header.fleet != m_identity.fleet.text()) {
        refuse(wire::RefusalKind::OTHER_FLEET,
               "fleet " + header.fleet + " called fleet " + m_identity.fleet.text());
    }
    const std::lock_guard lock(m_mutex);
    std::int64_t &latest = m_incarnations[header.vm];
    if (header.incarnation < latest)
        refuse(wire::RefusalKind::OLDER_INCARNATION, header.vm + " has started again since");
    latest = header.incarnation;
}

void PeerService::handshake(wire::Header &reply, const wire::Header &header)
{
    check(header);
    reply = m_headerSource();
}

void PeerService::execute(wire::StatementReply &reply, const wire::Header &header,
                          const wire::StatementCall &call)
{
    check(header);
    try {
        reply.__set_answer(toWire(m_home.run(fromWire(call, Clock::now()))));
    } catch (const StatementError &error) {
        reply.__set_fault(toWire(error, RequestId(call.requestId)));
    } catch (const MessageError &fault) {
        refuse(wire::RefusalKind::BAD_MESSAGE, fault.what());
    }
}

void PeerService::requestFate(wire::RequestFateReply &, const wire::Header &header,
                              const std::string &, const std::string &, const std::string &)
{
    check(header);
    refuse(wire::RefusalKind::NOT_HOME, "not answered here");
}

void PeerService::gossip(wire::GossipReply &reply, const wire::Header &header,
                         const wire::Gossip &message)
{
    check(header);
    try {
        reply = m_membership.answer(message);
    } catch (const EndpointError &fault) {
        refuse(wire::RefusalKind::BAD_MESSAGE, fault.what());
    }
}

void PeerService::raft(const wire::Header &header, const std::vector<wire::RaftMessage> &)
{
    check(header);
    refuse(wire::RefusalKind::NOT_CONTROL, "no control role here");
}

void PeerService::submitConfig(wire::SubmitReply &, const wire::Header &header,
                               const wire::ConfigSubmission &)
{
    check(header);
    refuse(wire::RefusalKind::NOT_CONTROL, "no control role here");
}

void PeerService::pushConfig(const wire::Header &header, const wire::ConfigPush &)
{
    check(header);
}

void PeerService::fetchConfig(wire::ConfigPage &, const wire::Header &header, std::int64_t)
{
    check(header);
}

void PeerService::reportGroups(wire::GroupReportReply &, const wire::Header &header,
                               const std::vector<wire::GroupReport> &)
{
    check(header);
    refuse(wire::RefusalKind::NOT_CONTROL, "no control role here");
}

void PeerService::events(wire::EventPage &, const wire::Header &header, std::int64_t)
{
    check(header);
}

void PeerService::status(wire::NodeStatusReply &, const wire::Header &header)
{
    check(header);
}

} // namespace nutmegtide
