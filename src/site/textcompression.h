#pragma once

#include "nutmegtide/base/errors.h"

#include <string>

namespace nutmegtide {

// The bytes weren't written by compress(), or are damaged.
class CompressionError : public Error
{
public:
    using Error::Error;
};

// Compresses repetitive text, such as a configuration with many routes.
std::string compress(const std::string &text);
// Throws CompressionError.
std::string decompress(const std::string &bytes);

} // namespace nutmegtide
