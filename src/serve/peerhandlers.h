#pragma once

#include "nutmegtide/statement/statement.h"
#include "peer_types.h"

#include <functional>
#include <vector>

namespace nutmegtide {

// What this process does for other processes. A role fills in the calls it
// answers; the peer service refuses the others as not answered here. A handler
// may throw MessageError or EndpointError for a message of a bad form,
// FolderMismatchError, and wire::PeerRefusal for any other refusal.
struct PeerHandlers
{
    std::function<StatementResult(const Statement &)> execute;
    std::function<wire::RequestFateReply(const DatabaseName &, const CallerId &, const RequestId &)>
            requestFate;
    std::function<wire::GossipReply(const wire::Header &, const wire::Gossip &)> gossip;
    std::function<void(const std::vector<wire::RaftMessage> &)> raft;
    std::function<wire::SubmitReply(const wire::ConfigSubmission &)> submitConfig;
    std::function<void(const wire::ConfigPush &)> pushConfig;
    std::function<wire::ConfigPage(Revision after)> fetchConfig;
    std::function<wire::GroupReportReply(const wire::Header &,
                                         const std::vector<wire::GroupReport> &)>
            reportGroups;
    std::function<wire::FollowReply(const wire::Header &, const wire::FollowRequest &)> follow;
    std::function<void(const wire::Header &, const wire::SiteNews &)> spreadNews;
    std::function<std::vector<wire::AgedProof>(const std::vector<std::string> &services)> agedProofs;
    std::function<wire::OpenChanges()> openChanges;
    std::function<wire::EventPage(std::int64_t after)> events;
    std::function<wire::NodeStatusReply()> status;
};

} // namespace nutmegtide
