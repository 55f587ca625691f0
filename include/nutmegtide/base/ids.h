#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace nutmegtide {

// A name that can't be mixed up with a name of another kind: a VmName is never
// taken for a ServerId, although both hold text. Objects are addressed by such
// ids and live in containers.
//
//   const VmName vm("entry-1");
//   std::map<VmName, Member> members;
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : m_text(std::move(text))
    { }

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    // Not defaulted as a whole: clang-tidy 14 takes the 0 in a defaulted <=> for a null pointer.
    auto operator<=>(const Name &other) const { return m_text <=> other.m_text; }
    bool operator==(const Name &) const = default;
    friend std::ostream &operator<<(std::ostream &out, const Name &name)
    {
        return out << name.m_text;
    }

private:
    std::string m_text;
};

using VmName = Name<struct VmNameTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using ServerId = Name<struct ServerIdTag>; // a backend server
using DatabaseName = Name<struct DatabaseNameTag>;
using RequestId = Name<struct RequestIdTag>;
using CallerId = Name<struct CallerIdTag>;
using SessionId = Name<struct SessionIdTag>;
using TransactionId = Name<struct TransactionIdTag>;
using ChangeId = Name<struct ChangeIdTag>;
using WorkspaceName = Name<struct WorkspaceNameTag>;
using FleetId = Name<struct FleetIdTag>;

// The term of a database group; it grows by one with each change of primary or of voters.
using Term = std::uint64_t;
// The number of an accepted configuration; 0 stands for none.
using Revision = std::uint64_t;
// Counts the starts of one process or backend server.
using Incarnation = std::uint64_t;

// A place in the log of a database group. Positions compare by term first.
struct LogPosition
{
    Term term = 0;
    std::uint64_t index = 0; // entries from the start of the log, 1 for the first

    auto operator<=>(const LogPosition &) const = default;
};

inline std::ostream &operator<<(std::ostream &out, const LogPosition &position)
{
    return out << position.term << '.' << position.index;
}

} // namespace nutmegtide

template <typename Tag>
struct std::hash<nutmegtide::Name<Tag>>
{
    std::size_t operator()(const nutmegtide::Name<Tag> &name) const
    {
        return std::hash<std::string>()(name.text());
    }
};
