#pragma once

#include <string_view>

namespace nutmegtide {

// The page's text before and after the JSON of the time line.
extern const std::string_view TimelinePageHead;
extern const std::string_view TimelinePageTail;

} // namespace nutmegtide
