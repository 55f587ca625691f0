#include "nutmegtide/statement/sessiontoken.h"

#include <doctest/doctest.h>
#include <random>
#include <xxhash.h>

using namespace nutmegtide;

namespace {

const DatabaseName Casks("casks");
const DatabaseName Payroll("payroll");
constexpr std::uint64_t MaxNumber = ~std::uint64_t(0);

SessionToken fullToken()
{
    SessionToken token;
    for (std::size_t i = 0; i < MaxTokenDatabases; ++i) {
        std::string name = std::to_string(i);
        name.resize(MaxTokenDatabaseNameBytes, 'd');
        token.advance(DatabaseName(name), {MaxNumber, MaxNumber});
        token.markUnknown(DatabaseName(name), RequestId(std::string(MaxTokenRequestIdBytes, 'r')));
    }
    return token;
}

// Nothing for a TokenError; any other exception ends the test.
std::optional<SessionToken> decodeIfValid(const std::string &text)
{
    try {
        return SessionToken::decode(text);
    } catch (const TokenError &) {
        return std::nullopt;
    }
}

// Writes bytes as a token with a right checksum, so that the fields behind it are reached.
std::string sealed(std::string bytes)
{
    const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), 1);
    for (int i = 0; i < 8; ++i)
        bytes.push_back(static_cast<char>(checksum >> (8 * i)));
    const std::string_view alphabet =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::string text;
    for (std::size_t bit = 0; bit < bytes.size() * 8; bit += 6) {
        unsigned value = 0;
        for (std::size_t i = bit; i < bit + 6; ++i) {
            const bool isSet = i / 8 < bytes.size() && ((bytes[i / 8] >> (7 - i % 8)) & 1) != 0;
            value = value * 2 + (isSet ? 1 : 0);
        }
        text.push_back(alphabet[value]);
    }
    return text;
}

} // namespace

TEST_CASE("a session token reads back what it wrote")
{
    SessionToken token;
    CHECK(SessionToken::decode(token.encode()) == token);
    token.advance(Casks, {3, 700});
    token.advance(Payroll, {1, MaxNumber});
    token.markUnknown(Payroll, RequestId("transfer/7 é"));
    CHECK(SessionToken::decode(token.encode()) == token);
    const std::string text = fullToken().encode();
    CHECK(text.size() <= MaxTokenTextBytes);
    CHECK(SessionToken::decode(text) == fullToken());
}

TEST_CASE("a session token never goes back")
{
    SessionToken token;
    token.advance(Casks, {2, 5});
    for (const LogPosition lower : {LogPosition {2, 4}, LogPosition {1, 900}, LogPosition {}}) {
        CAPTURE(lower);
        token.advance(Casks, lower);
        CHECK(token.find(Casks)->seen == LogPosition {2, 5});
    }
    token.advance(Casks, {3, 1});
    CHECK(token.find(Casks)->seen == LogPosition {3, 1});
    CHECK_FALSE(token.find(Payroll));
}

TEST_CASE("an unknown write stays marked until its own outcome is known")
{
    SessionToken token;
    token.markUnknown(Casks, RequestId("a"));
    token.settle(Casks, RequestId("b"));
    token.settle(Payroll, RequestId("a"));
    CHECK(token.find(Casks)->unknownWrite == RequestId("a"));
    token.settle(Casks, RequestId("a"));
    CHECK_FALSE(token.find(Casks)->unknownWrite);
}

TEST_CASE("a session token refuses what passes its limits")
{
    SessionToken token = fullToken();
    CHECK_THROWS_AS(token.advance(Casks, {1, 1}), TokenError);
    CHECK_THROWS_AS(token.markUnknown(Casks, RequestId("a")), TokenError);
    SessionToken empty;
    const std::string longName(MaxTokenDatabaseNameBytes + 1, 'd');
    const std::string longId(MaxTokenRequestIdBytes + 1, 'r');
    CHECK_THROWS_AS(empty.advance(DatabaseName(longName), {1, 1}), TokenError);
    CHECK_THROWS_AS(empty.advance(DatabaseName(), {1, 1}), TokenError);
    CHECK_THROWS_AS(empty.markUnknown(Casks, RequestId(longId)), TokenError);
    CHECK_THROWS_AS(empty.markUnknown(Casks, RequestId()), TokenError);
    CHECK(empty == SessionToken());
}

TEST_CASE("text that is no session token is a typed error")
{
    SessionToken token;
    token.advance(Casks, {3, 700});
    const std::string text = token.encode();
    const std::string rows[] = {"A",
                                "AAAA",
                                "not base64!",
                                text + "A",
                                text + text,
                                text.substr(0, text.size() - 1),
                                "=" + text,
                                text.substr(1),
                                std::string(MaxTokenTextBytes, 'A'),
                                text + "=",
                                std::string("\0", 1),
                                std::string(1 << 20, 'A')};
    for (const std::string &row : rows) {
        CAPTURE(row.substr(0, 80));
        CHECK_THROWS_AS(SessionToken::decode(row), TokenError);
    }
}

TEST_CASE("changed token text is either refused or reads back the same")
{
    constexpr std::uint64_t Seed = 20161;
    constexpr int Rounds = 20'000;
    std::mt19937_64 generator(Seed);
    SessionToken token;
    token.advance(Casks, {3, 700});
    token.markUnknown(Payroll, RequestId("transfer-7"));
    const std::string original = token.encode();
    int accepted = 0;
    for (int round = 0; round < Rounds; ++round) {
        std::string text = original;
        const std::size_t changes = 1 + generator() % 4;
        for (std::size_t i = 0; i < changes; ++i) {
            const std::size_t at = generator() % text.size();
            const char letter = static_cast<char>(generator() % 256);
            if (generator() % 3 == 0) {
                text.insert(at, 1, letter);
            } else {
                text[at] = letter;
            }
        }
        text.resize(1 + generator() % (2 * text.size()) % text.size());
        CAPTURE(text);
        const std::optional<SessionToken> decoded = decodeIfValid(text);
        if (!decoded)
            continue;
        CHECK(text == original);
        CHECK(*decoded == token);
        ++accepted;
    }
    CHECK(accepted < Rounds / 100);
}

TEST_CASE("bytes under a right checksum are either refused or one written form")
{
    using namespace std::string_literals;
    const std::string valid = "\1\5casks\3\7\0\7payroll\0\0\1a"s;
    CHECK(decodeIfValid(sealed(valid)));
    const std::string refused[] = {""s,
                                   "\2"s,
                                   "\1"s,
                                   "\1\1b\1\1\0\1a\1\1\0"s,
                                   "\1\1a\1\1\0\1a\1\1\0"s,
                                   "\1\0\1\1\0"s,
                                   "\1\1a\x81\0\1\0"s,
                                   "\1\1a\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f\1\0"s,
                                   "\1\1a\1\1\xff\xff\xff\xff\xff\xff\xff\xff\xff\1"s};
    for (const std::string &bytes : refused) {
        CAPTURE(sealed(bytes));
        CHECK_FALSE(decodeIfValid(sealed(bytes)));
    }
    std::mt19937_64 generator(20162);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = valid;
        for (std::size_t i = 0; i <= generator() % 3; ++i)
            bytes[generator() % bytes.size()] = static_cast<char>(generator() % 256);
        const std::string text = sealed(bytes);
        CAPTURE(text);
        const std::optional<SessionToken> decoded = decodeIfValid(text);
        if (decoded)
            CHECK(decoded->encode() == text);
    }
}
