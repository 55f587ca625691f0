#include "nutmegtide/fleet/member.h"

#include <tuple>

namespace nutmegtide {

namespace {

// Size in bytes of a MemberUpdate without its strings: the lengths of four strings,
// three 64-bit numbers, a state, two flags, ten field headers and the stop field.
constexpr std::size_t FixedBytes = 4 * (4 + 3) + 3 * (8 + 3) + (4 + 3) + 2 * (1 + 3) + 1;

} // namespace

bool overrides(const Member &claim, const Member &known)
{
    return std::tie(claim.incarnation, claim.version, claim.state)
            > std::tie(known.incarnation, known.version, known.state);
}

bool isSameVersion(const Member &left, const Member &right)
{
    return left.incarnation == right.incarnation && left.version == right.version;
}

std::size_t wireSize(const Member &member)
{
    return FixedBytes + member.vm.text().size() + member.failureDomain.text().size()
            + toString(member.peers).size() + toString(member.callers).size();
}

} // namespace nutmegtide
