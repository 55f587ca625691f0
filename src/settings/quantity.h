#pragma once

#include "nutmegtide/base/errors.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace nutmegtide {

// Text that is no whole number with a unit.
class QuantityError : public Error
{
public:
    using Error::Error;
};

// Reads a duration with one of the units ms, s, min and h, such as "250ms". Throws QuantityError.
std::chrono::milliseconds parseDuration(std::string_view text);

// Reads a size with one of the units B, KiB, MiB and GiB as bytes. Throws QuantityError.
std::uint64_t parseSize(std::string_view text);

} // namespace nutmegtide
