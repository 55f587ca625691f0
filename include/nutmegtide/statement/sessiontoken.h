#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtide {

// Session text that is damaged, too large or of another version, or a change
// that would make a session pass its limits.
class TokenError : public Error
{
public:
    using Error::Error;
};

constexpr std::size_t MaxTokenDatabases = 16;
constexpr std::size_t MaxTokenDatabaseNameBytes = 64;
constexpr std::size_t MaxTokenRequestIdBytes = 96;
constexpr std::size_t MaxTokenTextBytes = 4096;

// What a session has seen of one database.
struct SeenDatabase
{
    LogPosition seen;
    std::optional<RequestId> unknownWrite; // a write of unknown outcome, not yet settled

    bool operator==(const SeenDatabase &) const = default;
};

// The state of a session. It travels with the caller as text, so any proxy can
// serve the session and nothing of it is stored in the fleet.
//
//   SessionToken token = SessionToken::decode(header);
//   token.advance(database, reply.position);
//   header = token.encode();
//
// The text carries a version and a checksum. The checksum finds damage; it has
// no key and isn't a proof of origin. A made-up token can only name positions,
// which makes the reads of its own session wait or take the primary.
// The limits on names and on their number keep every token within MaxTokenTextBytes.
class SessionToken
{
public:
    // Throws TokenError for text that encode() doesn't write; empty text is an empty token.
    static SessionToken decode(std::string_view text);

    // Returns base64url text without padding; empty for an empty token.
    std::string encode() const;

    // Records a position that the session has written or read. A position below
    // the known one changes nothing. Throws TokenError past the limits.
    void advance(const DatabaseName &database, const LogPosition &position);

    // Records a write whose outcome isn't known; a later one replaces an earlier one.
    // Throws TokenError past the limits.
    void markUnknown(const DatabaseName &database, const RequestId &request);

    // Removes the mark once the outcome of this request is known; another request's stays.
    void settle(const DatabaseName &database, const RequestId &request);

    // Returns what the session has seen of the database, nothing where it has seen none.
    std::optional<SeenDatabase> find(const DatabaseName &database) const;

    const std::map<DatabaseName, SeenDatabase> &databases() const { return m_databases; }
    bool operator==(const SessionToken &) const = default;

private:
    SeenDatabase &entry(const DatabaseName &database);

    std::map<DatabaseName, SeenDatabase> m_databases;
};

} // namespace nutmegtide
