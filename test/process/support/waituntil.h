#pragma once

#include "nutmegtide/base/errors.h"

#include <chrono>
#include <functional>
#include <string>

namespace nutmegtide::test {

// Something that a test waited for did not come in time.
class TimeoutError : public Error
{
public:
    using Error::Error;
};

// Generous, since a verdict must not depend on how busy the machine is.
constexpr std::chrono::seconds WaitLimit {60};

// Polls the condition until it holds. Throws TimeoutError, which names what was waited for.
void waitUntil(const std::function<bool()> &condition, const std::string &what,
               std::chrono::milliseconds limit = WaitLimit);

} // namespace nutmegtide::test
