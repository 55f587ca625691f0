#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/session/sessionstatement.h"

#include <map>
#include <set>

namespace nutmegtide {

// What the choice of a server for promotion rests on: which servers can acknowledge no commit of
// the old primary any more, how much each of them has received, and which may still acknowledge.
//
//   const FenceReport report = change.fenceReport();
//   logEvent(LogLevel::Info, "primary_change_fenced", context, fieldsOf(service, report));
struct FenceReport
{
    Term term = 0; // the holds are made in this term
    ServerId chosen;
    LogPosition position; // received by the chosen server
    std::map<ServerId, LogPosition> fenced;
    std::set<ServerId> missing; // known servers that aren't fenced, without the chosen one
    std::set<ServerId> openOrders; // servers whose promotion may still be carried out
};

} // namespace nutmegtide
