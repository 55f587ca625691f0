#pragma once

#include "nutmegtide/base/ids.h"

#include <vector>

namespace nutmegtide {

// Number of receivers of one push. A higher degree makes the tree flatter and each sender's work
// larger.
constexpr std::size_t FanOutDegree = 8;

// The properties of a VM that decide its place in the fan-out tree.
struct FanOutMember
{
    VmName vm;
    FailureDomain failureDomain;
};

// One message of a fan-out: its receiver, and the VMs that the receiver forwards it to.
struct FanOutPart
{
    VmName receiver;
    std::vector<VmName> onward;

    bool operator==(const FanOutPart &) const = default;
};

// Orders members for a push. Members of one failure domain are adjacent, so that most messages of
// the tree stay within a domain. The order within a domain changes with the revision, so that the
// work of the tree's inner nodes is spread over all VMs.
std::vector<VmName> pushOrder(std::vector<FanOutMember> members, Revision revision);

// Splits the list into at most `degree` runs of nearly equal length. The first member of each run
// receives the message and forwards it to the rest of its run.
std::vector<FanOutPart> fanOut(const std::vector<VmName> &members,
                               std::size_t degree = FanOutDegree);

} // namespace nutmegtide
