#pragma once

#include <cstddef>
#include <string_view>

namespace nutmegtide {

// Arrays and objects within each other that a body may have. The library that
// writes and copies JSON recurses, so deeper text could exhaust a thread's stack.
constexpr std::size_t DeepestJson = 64; // levels

// Returns whether the text nests deeper than DeepestJson. It counts brackets
// outside of strings, and text that is no JSON may get either answer.
bool isTooDeepJson(std::string_view text);

} // namespace nutmegtide
