#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"

#include <vector>

namespace nutmegtide {

enum class MemberState {
    Alive,
    Suspect,
    Dead,
    Left, // stopped by plan
};

// What is said of one member of the fleet. Of two claims the one of the higher
// incarnation holds, then that of the higher version, then the worse state.
struct Member
{
    VmName vm;
    FailureDomain failureDomain;
    Endpoint peers;
    Endpoint callers;
    Incarnation incarnation = 0; // of the process
    std::uint64_t version = 0; // raised by the member alone, to refute or to say something new
    MemberState state = MemberState::Alive;
    bool isControl = false;
    bool isDraining = false;
    Revision revision = 0; // configuration in force there, as of the latest direct contact

    bool isPresent() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

// Returns whether the first claim overrides the second.
bool overrides(const Member &claim, const Member &known);
// Returns whether both speak of the same version of the same process.
bool isSameVersion(const Member &left, const Member &right);
// Returns the bytes of the claim in the peers' protocol.
std::size_t wireSize(const Member &member);

} // namespace nutmegtide
