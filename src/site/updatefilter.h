#pragma once

#include "nutmegtide/base/time.h"
#include "peer_types.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegtide {

// Remembers which server records one control VM has sent to another, so that sending the whole
// directory again costs only what changed. Everything is sent again after a failed delivery, and
// periodically, since the other control VM may have restarted.
//
//   const auto records = filter.unknown(directory, now);
//   if (send(records))
//       filter.delivered(records);
//   else
//       filter.lost();
class UpdateFilter
{
public:
    // Returns the records of the directory that the other control VM doesn't have yet.
    std::vector<wire::ServerRecord> unknown(const std::vector<wire::ServerRecord> &directory,
                                            TimePoint now);
    void delivered(const std::vector<wire::ServerRecord> &records);
    void lost() { m_delivered.clear(); }

private:
    std::map<std::string, wire::ServerRecord> m_delivered; // by server, comparable content only
    TimePoint m_clearedAt {}; // when m_delivered was last cleared
};

} // namespace nutmegtide
