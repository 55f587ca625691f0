#pragma once

#include "nutmegtide/base/ids.h"

#include <vector>

namespace nutmegtide {

// Receivers of one push. More make the tree flatter and the sender's share larger.
constexpr std::size_t FanOutDegree = 8;

// A VM as far as the fan-out tree is concerned.
struct FanOutMember
{
    VmName vm;
    FailureDomain failureDomain;
};

// One message: its receiver, and the VMs that the receiver passes it on to.
struct FanOutPart
{
    VmName receiver;
    std::vector<VmName> onward;

    bool operator==(const FanOutPart &) const = default;
};

// Orders members for a push: neighbours share a failure domain, so that most messages of the
// tree stay inside one, and within it the order changes with the revision, so that the inner
// places of the tree and their cost go round.
std::vector<VmName> pushOrder(std::vector<FanOutMember> members, Revision revision);

// Cuts the list into at most `degree` runs of nearly equal length; the first of each run
// receives the message and passes it on to the rest of its run.
std::vector<FanOutPart> fanOut(const std::vector<VmName> &members,
                               std::size_t degree = FanOutDegree);

} // namespace nutmegtide
