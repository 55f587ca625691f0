#include "serve/peerservice.h"

#include "nutmegtide/control/logstorage.h"
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

// Runs a role's handler and turns its errors into refusals that the peer understands.
template <typename Handler, typename... Arguments>
auto answer(const Handler &handler, const Arguments &...arguments)
{
    if (!handler)
        refuse(wire::RefusalKind::NOT_CONTROL, "this call is not answered here");
    try {
        return handler(arguments...);
    } catch (const MessageError &fault) {
        refuse(wire::RefusalKind::BAD_MESSAGE, fault.what());
    } catch (const FolderMismatchError &fault) {
        refuse(wire::RefusalKind::OTHER_FOLDER, fault.what());
    } catch (const EndpointError &fault) {
        refuse(wire::RefusalKind::BAD_MESSAGE, fault.what());
    }
}

} // namespace

PeerService::PeerService(const Identity &identity, Recorder &recorder, HeaderSource headerSource,
                         const PeerHandlers &handlers)
    : m_identity(identity)
    , m_recorder(recorder)
    , m_headerSource(std::move(headerSource))
    , m_handlers(handlers)
{ }

void PeerService::check(const wire::Header &header)
{
    if (header.fleet != m_identity.fleet.text()) {
        refuse(wire::RefusalKind::OTHER_FLEET,
               "fleet " + header.fleet + " called fleet " + m_identity.fleet.text());
    }
    m_recorder.observe({header.physicalMicroseconds, static_cast<std::uint32_t>(header.logical)});
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
        const Statement statement = fromWire(call, Clock::now());
        reply.__set_answer(toWire(m_handlers.execute(statement)));
    } catch (const StatementError &error) {
        wire::StatementFault fault = toWire(error, RequestId(call.requestId));
        if (fault.cause.empty())
            fault.cause = m_recorder.latestChange(DatabaseName(call.database)).text();
        reply.__set_fault(fault);
    } catch (const MessageError &fault) {
        refuse(wire::RefusalKind::BAD_MESSAGE, fault.what());
    }
}

void PeerService::requestFate(wire::RequestFateReply &reply, const wire::Header &header,
                              const std::string &database, const std::string &caller,
                              const std::string &requestId)
{
    check(header);
    reply = answer(m_handlers.requestFate, DatabaseName(database), CallerId(caller),
                   RequestId(requestId));
}

void PeerService::gossip(wire::GossipReply &reply, const wire::Header &header,
                         const wire::Gossip &message)
{
    check(header);
    reply = answer(m_handlers.gossip, header, message);
}

void PeerService::raft(const wire::Header &header, const std::vector<wire::RaftMessage> &messages)
{
    check(header);
    answer(m_handlers.raft, messages);
}

void PeerService::submitConfig(wire::SubmitReply &reply, const wire::Header &header,
                               const wire::ConfigSubmission &submission)
{
    check(header);
    reply = answer(m_handlers.submitConfig, submission);
}

void PeerService::pushConfig(const wire::Header &header, const wire::ConfigPush &push)
{
    check(header);
    answer(m_handlers.pushConfig, push);
}

void PeerService::fetchConfig(wire::ConfigPage &page, const wire::Header &header,
                              std::int64_t afterRevision)
{
    check(header);
    page = answer(m_handlers.fetchConfig, static_cast<Revision>(afterRevision));
}

void PeerService::reportGroups(wire::GroupReportReply &reply, const wire::Header &header,
                               const std::vector<wire::GroupReport> &reports)
{
    check(header);
    reply = answer(m_handlers.reportGroups, header, reports);
}

void PeerService::follow(wire::FollowReply &reply, const wire::Header &header,
                         const wire::FollowRequest &request)
{
    check(header);
    reply = answer(m_handlers.follow, header, request);
}

void PeerService::spreadNews(const wire::Header &header, const wire::SiteNews &news)
{
    check(header);
    answer(m_handlers.spreadNews, header, news);
}

void PeerService::agedProofs(std::vector<wire::AgedProof> &proofs, const wire::Header &header,
                             const std::vector<std::string> &services)
{
    check(header);
    proofs = answer(m_handlers.agedProofs, services);
}

void PeerService::openChanges(wire::OpenChanges &changes, const wire::Header &header)
{
    check(header);
    changes = answer(m_handlers.openChanges);
}

void PeerService::events(wire::EventPage &page, const wire::Header &header,
                         std::int64_t afterSequence)
{
    check(header);
    page = answer(m_handlers.events, afterSequence);
}

void PeerService::status(wire::NodeStatusReply &reply, const wire::Header &header)
{
    check(header);
    reply = answer(m_handlers.status);
}

} // namespace nutmegtide
