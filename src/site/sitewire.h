#pragma once

#include "nutmegtide/failover/openchanges.h"
#include "nutmegtide/proxy/proofcache.h"
#include "nutmegtide/proxy/serverregistry.h"
#include "peer_types.h"
#include "site/homedirectory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegtide {

// Conversions between wire types and internal types. fromWire() throws MessageError for a number
// out of range, and EndpointError for an invalid address.

std::vector<wire::AgedProof> toWire(const std::vector<AgedProof> &proofs);
std::vector<AgedProof> fromWire(const std::vector<wire::AgedProof> &proofs);

wire::OpenChanges toWire(const OpenChanges &changes, TimePoint now);
// `askedAt` is when the request for the changes was sent.
OpenChanges fromWire(const wire::OpenChanges &changes, TimePoint askedAt);

std::vector<wire::HomeVm> toWire(const std::vector<HomeCandidate> &candidates);
std::vector<HomeCandidate> fromWire(const std::vector<wire::HomeVm> &candidates);

std::vector<wire::ServerHome> toWire(const ServerHomes &homes);
ServerHomes fromWire(const std::vector<wire::ServerHome> &homes);

// `now` is the time of sending or receiving; ages on the wire are relative to it.
wire::ServerRecord toWire(const ServerRecord &record, TimePoint now);
ServerRecord fromWire(const wire::ServerRecord &record, TimePoint now);

// The server records of a peer's message.
struct ReceivedServers
{
    std::vector<ServerRecord> records;
    std::vector<std::string> refusals; // the reason for each record that was left out
};

// Leaves out each record that can't be read, so that the others hold: the peer may be of an older
// version, which passes on whatever a server announced.
ReceivedServers fromWire(const std::vector<wire::ServerRecord> &records, TimePoint now);
// The servers that the control log's rosters name. The version differs whenever the servers do.
struct RecordedServers
{
    std::set<ServerId> servers;
    std::int64_t version = 0;
};

RecordedServers recordedServers(std::set<ServerId> servers);
// Puts the servers into the reply, unless the request names their version.
void putRecordedServers(const RecordedServers &recorded, const wire::FollowRequest &request,
                        wire::FollowReply &reply);
// Returns nothing if the reply tells none, as that of an older version.
std::optional<RecordedServers> recordedServersOf(const wire::FollowReply &reply);
// Writes a log line if records of the peer's message were left out.
void logRefusedServers(const ReceivedServers &received, const std::string &peer);

} // namespace nutmegtide
