#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"

#include <vector>

namespace nutmegtide {

// The state of a member, in ascending order of precedence.
enum class MemberState {
    Alive,
    Suspect,
    Dead,
    Left, // stopped as planned
};

// A claim about one member of the fleet. Of two claims the one with the higher incarnation
// wins, then the one with the higher version, then the one with the worse state.
struct Member
{
    VmName vm;
    FailureDomain failureDomain;
    Endpoint peers; // address for other VMs
    Endpoint callers; // address for callers
    Incarnation incarnation = 0; // of the process
    std::uint64_t version = 0; // raised only by the member itself, to refute or update a claim
    MemberState state = MemberState::Alive;
    bool isControl = false; // it is a control VM
    bool isDraining = false;
    Revision revision = 0; // configuration in force there at the latest direct contact

    // Whether the member takes part, that is, is alive or suspected.
    bool isPresent() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

// Whether the first claim overrides the second.
bool overrides(const Member &claim, const Member &known);
// Whether both claims are about the same version of the same process.
bool isSameVersion(const Member &left, const Member &right);
// Returns the size in bytes of the claim in the peer protocol.
std::size_t wireSize(const Member &member);

} // namespace nutmegtide
