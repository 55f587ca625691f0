#pragma once

#include <string_view>

namespace nutmegtide {

// Reasons for which SessionProxy refuses or delays statements.
constexpr std::string_view PastLeaveTimeReason = "the server's time to leave is over";
constexpr std::string_view StalledReason = "no recorded replica can confirm commits";
constexpr std::string_view CutOffReason = "this VM is cut off from the primary";
constexpr std::string_view NoPrimaryReason = "no primary is known";
constexpr std::string_view NoServerReason = "no server is left to ask";

} // namespace nutmegtide
