#include "nutmegtide/fleet/fanout.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace nutmegtide {

namespace {

struct OrderedMember
{
    FailureDomain failureDomain;
    std::uint64_t weight = 0;
    VmName vm;

    auto key() const { return std::tie(failureDomain, weight, vm); }
};

} // namespace

std::vector<VmName> pushOrder(std::vector<FanOutMember> members, Revision revision)
{
    std::vector<OrderedMember> ordered;
    for (FanOutMember &member : members) {
        const std::string &name = member.vm.text();
        const std::uint64_t weight = XXH64(name.data(), name.size(), revision);
        ordered.push_back({std::move(member.failureDomain), weight, std::move(member.vm)});
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const OrderedMember &left, const OrderedMember &right) {
                  return left.key() < right.key();
              });
    std::vector<VmName> names;
    for (OrderedMember &member : ordered)
        names.push_back(std::move(member.vm));
    return names;
}

std::vector<FanOutPart> fanOut(const std::vector<VmName> &members, std::size_t degree)
{
    std::vector<FanOutPart> parts;
    const std::size_t count = std::min(std::max<std::size_t>(degree, 1), members.size());
    for (std::size_t part = 0; part < count; ++part) {
        const auto begin = members.begin() + long(part * members.size() / count);
        const auto end = members.begin() + long((part + 1) * members.size() / count);
        parts.push_back({*begin, {begin + 1, end}});
    }
    return parts;
}

} // namespace nutmegtide
