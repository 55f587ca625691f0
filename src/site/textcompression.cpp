#include "site/textcompression.h"

#include <cstdint>
#include <zlib.h>

namespace nutmegtide {

namespace {

constexpr std::size_t SizeBytes = 4; // the text's length, stored before the compressed bytes
constexpr std::uint32_t LargestText = 64U * 1024 * 1024; // bytes

} // namespace

std::string compress(const std::string &text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(SizeBytes + size, '\0');
    for (std::size_t i = 0; i < SizeBytes; ++i)
        bytes[i] = static_cast<char>(text.size() >> (8 * i));
    compress2(reinterpret_cast<Bytef *>(bytes.data() + SizeBytes), &size,
              reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_BEST_SPEED);
    bytes.resize(SizeBytes + size);
    return bytes;
}

std::string decompress(const std::string &bytes)
{
    if (bytes.size() < SizeBytes)
        throw CompressionError("too short for compressed text");
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < SizeBytes; ++i)
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    if (length > LargestText)
        throw CompressionError("the decompressed text would be too large");
    std::string text(length, '\0');
    uLongf size = length;
    const int result = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  reinterpret_cast<const Bytef *>(bytes.data() + SizeBytes),
                                  bytes.size() - SizeBytes);
    if (result != Z_OK || size != length)
        throw CompressionError("the bytes are not compressed text");
    return text;
}

} // namespace nutmegtide
