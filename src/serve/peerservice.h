#pragma once

#include "Peer.h"
#include "nutmegtide/events/recorder.h"
#include "serve/identity.h"
#include "serve/peerclient.h"
#include "serve/peerhandlers.h"

#include <map>
#include <mutex>

namespace nutmegtide {

// Answers the calls of other processes by the handlers of the roles. It refuses
// a peer of another fleet and one of an older incarnation than it has heard
// from, and takes in the sender's clock, so that events keep their causal order.
class PeerService : public wire::PeerIf
{
public:
    PeerService(const Identity &identity, Recorder &recorder, HeaderSource headerSource,
                const PeerHandlers &handlers);

    void handshake(wire::Header &reply, const wire::Header &header) override;
    void execute(wire::StatementReply &reply, const wire::Header &header,
                 const wire::StatementCall &call) override;
    void requestFate(wire::RequestFateReply &reply, const wire::Header &header,
                     const std::string &database, const std::string &caller,
                     const std::string &requestId) override;
    void gossip(wire::GossipReply &reply, const wire::Header &header,
                const wire::Gossip &message) override;
    void raft(const wire::Header &header, const std::vector<wire::RaftMessage> &messages) override;
    void submitConfig(wire::SubmitReply &reply, const wire::Header &header,
                      const wire::ConfigSubmission &submission) override;
    void pushConfig(const wire::Header &header, const wire::ConfigPush &push) override;
    void fetchConfig(wire::ConfigPage &page, const wire::Header &header,
                     std::int64_t afterRevision) override;
    void reportGroups(wire::GroupReportReply &reply, const wire::Header &header,
                      const std::vector<wire::GroupReport> &reports) override;
    void follow(wire::FollowReply &reply, const wire::Header &header,
                const wire::FollowRequest &request) override;
    void spreadNews(const wire::Header &header, const wire::SiteNews &news) override;
    void agedProofs(std::vector<wire::AgedProof> &proofs, const wire::Header &header,
                    const std::vector<std::string> &services) override;
    void openChanges(wire::OpenChanges &changes, const wire::Header &header) override;
    void events(wire::EventPage &page, const wire::Header &header,
                std::int64_t afterSequence) override;
    void status(wire::NodeStatusReply &reply, const wire::Header &header) override;

private:
    void check(const wire::Header &header);

    const Identity &m_identity;
    Recorder &m_recorder;
    HeaderSource m_headerSource;
    const PeerHandlers &m_handlers;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_incarnations; // latest one heard of each VM
};

} // namespace nutmegtide
