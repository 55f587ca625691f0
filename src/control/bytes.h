#pragma once

#include "nutmegtide/base/errors.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegtide {

// Serializes numbers (little-endian) and length-prefixed strings.
//
//   ByteWriter writer;
//   writer.number<std::uint32_t>(7);
//   writer.text("payload");
//   send(writer.bytes());
class ByteWriter
{
public:
    template <typename Number>
    void number(Number value)
    {
        for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
            m_bytes.push_back(static_cast<char>((value >> (8 * byte)) & 0xff));
    }
    void text(std::string_view value)
    {
        number<std::uint64_t>(value.size());
        m_bytes.append(value);
    }
    const std::string &bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

// Reads what ByteWriter wrote. Throws MessageError if the input ends too early.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : m_bytes(bytes)
    { }

    template <typename Number>
    Number number()
    {
        Number value = 0;
        const std::string_view part = readBytes(sizeof(Number));
        for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
            value |= static_cast<Number>(static_cast<unsigned char>(part[byte])) << (8 * byte);
        return value;
    }
    std::string text() { return std::string(readBytes(number<std::uint64_t>())); }
    bool isAtEnd() const { return m_bytes.empty(); }

private:
    std::string_view readBytes(std::uint64_t size)
    {
        if (size > m_bytes.size())
            throw MessageError("bytes end too soon");
        const std::string_view part = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return part;
    }

    std::string_view m_bytes;
};

} // namespace nutmegtide
