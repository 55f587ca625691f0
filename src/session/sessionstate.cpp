#include "nutmegtide/session/sessionstate.h"

#include "nutmegtide/base/text.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// Bytes of an entry of a map beside its texts.
constexpr std::size_t MapEntryBytes = sizeof(std::pair<std::string, PreparedStatement>)
        + 4 * sizeof(void *);

std::string hexOf(const std::string &bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned Base = 16;
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += {Digits[byte / Base], Digits[byte % Base]};
    }
    return text;
}

} // namespace

// A shape that isn't a word, for instance one with blanks, would end within the name.
std::string PreparedStatement::serverName() const
{
    if (isWord(shape))
        return (isWrite ? "w_" : "r_") + shape;
    return (isWrite ? "wx_" : "rx_") + hexOf(shape);
}

void SessionState::prepare(const std::string &name, PreparedStatement statement)
{
    m_prepared[name] = std::move(statement);
}

const PreparedStatement *SessionState::findPrepared(const std::string &name) const
{
    const auto found = m_prepared.find(name);
    return found == m_prepared.end() ? nullptr : &found->second;
}

std::size_t SessionState::memory() const
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : m_values)
        bytes += MapEntryBytes + name.capacity() + value.capacity();
    for (const auto &[name, statement] : m_prepared)
        bytes += MapEntryBytes + name.capacity() + statement.shape.capacity();
    return bytes;
}

bool ServerConnectionState::hasOtherSessionsValue(const SessionState &session) const
{
    return std::any_of(m_values.begin(), m_values.end(), [&session](const auto &value) {
        return session.values().count(value.first) == 0;
    });
}

std::vector<ServerCommand> ServerConnectionState::restore(const SessionState &session,
                                                          const PreparedStatement *prepared,
                                                          bool isInTransaction)
{
    std::vector<ServerCommand> commands;
    if (!isInTransaction && hasOtherSessionsValue(session)) {
        commands.push_back({ServerCommandKind::Reset, {}, {}, "", "", false, 0});
        m_values.clear();
        m_prepared.clear();
    }
    for (const auto &[name, value] : session.values()) {
        const auto held = m_values.find(name);
        if (held != m_values.end() && held->second == value)
            continue;
        commands.push_back({ServerCommandKind::SetValue, {}, {}, name, value, false, 0});
        m_values[name] = value;
    }
    if (prepared == nullptr || m_prepared.count(prepared->serverName()) != 0)
        return commands;
    commands.push_back({ServerCommandKind::Prepare,
                        {},
                        {},
                        prepared->serverName(),
                        prepared->shape,
                        prepared->isWrite,
                        0});
    m_prepared[prepared->serverName()] = *prepared;
    return commands;
}

std::size_t ServerConnectionState::distance(const SessionState &session,
                                            const PreparedStatement *prepared) const
{
    ServerConnectionState copy = *this;
    return copy.restore(session, prepared, false).size();
}

} // namespace nutmegtide
