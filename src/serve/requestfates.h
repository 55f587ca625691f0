#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/errors.h"

namespace nutmegtide {

// What became of a write, by its request id.
struct RequestRecord
{
    // No only where a primary that a majority confirms doesn't have it; Yes only
    // where a majority holds it.
    Ran ran = Ran::Unknown;
    LogPosition position;
    Json result;
};

// Looks requests up: at home, by forwarding, or both.
class RequestFates
{
public:
    virtual ~RequestFates() = default;

    // Throws StatementError where nobody can be asked.
    virtual RequestRecord find(const DatabaseName &database, const CallerId &caller,
                               const RequestId &id) = 0;
};

} // namespace nutmegtide
