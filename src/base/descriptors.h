#pragma once

#include <cstddef>

namespace nutmegtide {

// Returns how many descriptors this process may open.
std::size_t mostDescriptors();

} // namespace nutmegtide
