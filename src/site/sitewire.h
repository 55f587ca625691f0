#pragma once

#include "nutmegtide/proxy/proofcache.h"
#include "nutmegtide/proxy/serverregistry.h"
#include "peer_types.h"
#include "site/homedirectory.h"

#include <map>
#include <vector>

namespace nutmegtide {

// Between the wire and what it carries. Reading throws MessageError for a number out of range, and
// EndpointError for an address that can't be read.

std::vector<wire::AgedProof> toWire(const std::vector<AgedProof> &proofs);
std::vector<AgedProof> fromWire(const std::vector<wire::AgedProof> &proofs);

std::vector<wire::HomeVm> toWire(const std::vector<HomeCandidate> &candidates);
std::vector<HomeCandidate> fromWire(const std::vector<wire::HomeVm> &candidates);

std::vector<wire::ServerHome> toWire(const ServerHomes &homes);
ServerHomes fromWire(const std::vector<wire::ServerHome> &homes);

// `now` is the moment of sending, or of taking in.
wire::ServerRecord toWire(const ServerRecord &record, TimePoint now);
ServerRecord fromWire(const wire::ServerRecord &record, TimePoint now);

} // namespace nutmegtide
