#include "nutmegtide/statement/sessiontoken.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <xxhash.h>

namespace nutmegtide {

namespace {

constexpr std::uint8_t TokenVersion = 1;
constexpr std::size_t ChecksumBytes = 8;
constexpr unsigned VarintBits = 7;
constexpr unsigned MaxVarintShift = 63;
constexpr std::string_view Alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

void appendNumber(std::string &bytes, std::uint64_t number)
{
    while (number > 0x7f) {
        bytes.push_back(static_cast<char>(0x80 | (number & 0x7f)));
        number >>= VarintBits;
    }
    bytes.push_back(static_cast<char>(number));
}

void appendText(std::string &bytes, const std::string &text)
{
    appendNumber(bytes, text.size());
    bytes += text;
}

void appendChecksum(std::string &bytes)
{
    const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), TokenVersion);
    for (std::size_t i = 0; i < ChecksumBytes; ++i)
        bytes.push_back(static_cast<char>(checksum >> (8 * i)));
}

std::string toBase64(const std::string &bytes)
{
    std::string text;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char byte : bytes) {
        bits = (bits << 8) | static_cast<std::uint8_t>(byte);
        count += 8;
        while (count >= 6) {
            count -= 6;
            text.push_back(Alphabet[(bits >> count) & 0x3f]);
        }
    }
    if (count > 0)
        text.push_back(Alphabet[(bits << (6 - count)) & 0x3f]);
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const std::size_t value = Alphabet.find(letter);
        if (value == std::string_view::npos)
            throw TokenError("session token has a character outside base64url");
        bits = (bits << 6) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes.push_back(static_cast<char>(bits >> count));
        }
    }
    const bool hasSpareBits = count == 6 || (bits & ((1U << count) - 1)) != 0;
    if (hasSpareBits)
        throw TokenError("session token ends within a byte");
    return bytes;
}

// Takes numbers and texts from the front of a token's bytes.
class TokenReader
{
public:
    explicit TokenReader(std::string_view bytes)
        : m_bytes(bytes)
    { }

    bool isAtEnd() const { return m_bytes.empty(); }

    std::uint8_t byte()
    {
        if (m_bytes.empty())
            throw TokenError("session token is cut short");
        const auto value = static_cast<std::uint8_t>(m_bytes.front());
        m_bytes.remove_prefix(1);
        return value;
    }

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift <= MaxVarintShift; shift += VarintBits) {
            const std::uint8_t part = byte();
            value |= static_cast<std::uint64_t>(part & 0x7f) << shift;
            if ((part & 0x80) == 0)
                return value;
        }
        throw TokenError("session token has a number of more than 64 bits");
    }

    std::string text()
    {
        const std::uint64_t size = number();
        if (size > m_bytes.size())
            throw TokenError("session token is cut short");
        const std::string value(m_bytes.substr(0, size));
        m_bytes.remove_prefix(size);
        return value;
    }

private:
    std::string_view m_bytes;
};

std::string_view checkedBody(const std::string &bytes)
{
    if (bytes.size() < ChecksumBytes)
        throw TokenError("session token is cut short");
    std::string body = bytes.substr(0, bytes.size() - ChecksumBytes);
    appendChecksum(body);
    if (body != bytes)
        throw TokenError("session token has a wrong checksum");
    return std::string_view(bytes).substr(0, bytes.size() - ChecksumBytes);
}

} // namespace

SessionToken SessionToken::decode(std::string_view text)
{
    if (text.empty())
        return {};
    if (text.size() > MaxTokenTextBytes) {
        throw TokenError("session token has " + std::to_string(text.size()) + " bytes, at most "
                         + std::to_string(MaxTokenTextBytes) + " are allowed");
    }
    const std::string bytes = fromBase64(text);
    TokenReader reader(checkedBody(bytes));
    const std::uint8_t version = reader.byte();
    if (version != TokenVersion)
        throw TokenError("session token has the unknown version " + std::to_string(version));
    SessionToken token;
    while (!reader.isAtEnd()) {
        const DatabaseName database(reader.text());
        const LogPosition seen {reader.number(), reader.number()};
        const RequestId unknown(reader.text());
        if (token.m_databases.contains(database))
            throw TokenError("session token names database " + database.text() + " twice");
        token.advance(database, seen);
        if (!unknown.isEmpty())
            token.markUnknown(database, unknown);
    }
    if (token.encode() != text)
        throw TokenError("session token isn't in the form that the system writes");
    return token;
}

std::string SessionToken::encode() const
{
    if (m_databases.empty())
        return {};
    std::string bytes(1, static_cast<char>(TokenVersion));
    for (const auto &[database, state] : m_databases) {
        appendText(bytes, database.text());
        appendNumber(bytes, state.seen.term);
        appendNumber(bytes, state.seen.index);
        appendText(bytes, state.unknownWrite.value_or(RequestId()).text());
    }
    appendChecksum(bytes);
    return toBase64(bytes);
}

void SessionToken::advance(const DatabaseName &database, const LogPosition &position)
{
    SeenDatabase &state = entry(database);
    state.seen = std::max(state.seen, position);
}

void SessionToken::markUnknown(const DatabaseName &database, const RequestId &request)
{
    if (request.isEmpty() || request.text().size() > MaxTokenRequestIdBytes) {
        throw TokenError("request id of " + std::to_string(request.text().size())
                         + " bytes in a session token, 1 to "
                         + std::to_string(MaxTokenRequestIdBytes) + " are allowed");
    }
    entry(database).unknownWrite = request;
}

void SessionToken::settle(const DatabaseName &database, const RequestId &request)
{
    const auto found = m_databases.find(database);
    if (found != m_databases.end() && found->second.unknownWrite == request)
        found->second.unknownWrite.reset();
}

std::optional<SeenDatabase> SessionToken::find(const DatabaseName &database) const
{
    const auto found = m_databases.find(database);
    if (found == m_databases.end())
        return std::nullopt;
    return found->second;
}

SeenDatabase &SessionToken::entry(const DatabaseName &database)
{
    const auto found = m_databases.find(database);
    if (found != m_databases.end())
        return found->second;
    if (database.isEmpty() || database.text().size() > MaxTokenDatabaseNameBytes) {
        throw TokenError("database name of " + std::to_string(database.text().size())
                         + " bytes in a session token, 1 to "
                         + std::to_string(MaxTokenDatabaseNameBytes) + " are allowed");
    }
    if (m_databases.size() == MaxTokenDatabases) {
        throw TokenError("session uses more than " + std::to_string(MaxTokenDatabases)
                         + " databases");
    }
    return m_databases[database];
}

} // namespace nutmegtide
