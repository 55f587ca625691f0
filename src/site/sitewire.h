#pragma once

#include "nutmegtide/proxy/proofcache.h"
#include "nutmegtide/proxy/serverregistry.h"
#include "peer_types.h"
#include "site/homedirectory.h"

#include <map>
#include <vector>

namespace nutmegtide {

// Conversions between wire types and internal types. fromWire() throws MessageError for a number
// out of range, and EndpointError for an invalid address.

std::vector<wire::AgedProof> toWire(const std::vector<AgedProof> &proofs);
std::vector<AgedProof> fromWire(const std::vector<wire::AgedProof> &proofs);

std::vector<wire::HomeVm> toWire(const std::vector<HomeCandidate> &candidates);
std::vector<HomeCandidate> fromWire(const std::vector<wire::HomeVm> &candidates);

std::vector<wire::ServerHome> toWire(const ServerHomes &homes);
ServerHomes fromWire(const std::vector<wire::ServerHome> &homes);

// `now` is the time of sending or receiving; ages on the wire are relative to it.
wire::ServerRecord toWire(const ServerRecord &record, TimePoint now);
ServerRecord fromWire(const wire::ServerRecord &record, TimePoint now);

} // namespace nutmegtide
