#pragma once

#include "nutmegtide/base/time.h"
#include "peer_types.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegtide {

// What one control VM has told another one of the servers, so that a repetition of the whole
// directory costs only what the other doesn't know yet. All of it is told again after a loss, and
// every few seconds, since the other may have started anew.
//
//   const auto records = filter.unknown(directory, now);
//   if (send(records))
//       filter.delivered(records);
//   else
//       filter.lost();
class UpdateFilter
{
public:
    std::vector<wire::ServerRecord> unknown(const std::vector<wire::ServerRecord> &directory,
                                            TimePoint now);
    void delivered(const std::vector<wire::ServerRecord> &records);
    void lost() { m_delivered.clear(); }

private:
    std::map<std::string, wire::ServerRecord> m_delivered; // by server, without what differs each time
    TimePoint m_clearedAt {}; // the latest time that all was unknown
};

} // namespace nutmegtide
