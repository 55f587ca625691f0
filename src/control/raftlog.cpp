#include "nutmegtide/control/raftlog.h"

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmegtide {

std::string encodeMembers(const Members &members)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ControlMember &member : members)
        list.push_back({{"vm", member.vm.text()}, {"folder", member.folder}});
    return encodeJson(list);
}

Members decodeMembers(const std::string &payload)
{
    try {
        Members members;
        for (const nlohmann::json &item : nlohmann::json::parse(payload))
            members.push_back({VmName(item.at("vm").get<std::string>()),
                               item.at("folder").get<std::string>()});
        return members;
    } catch (const nlohmann::json::exception &fault) {
        throw MessageError(std::string("not a list of control members: ") + fault.what());
    }
}

const ControlMember *findFolderMismatch(const Members &members, const RaftMessage &message)
{
    if (message.kind == RaftMessageKind::Append || message.kind == RaftMessageKind::Snapshot)
        return nullptr;
    const auto found = std::find_if(members.begin(), members.end(), [&](const ControlMember &one) {
        return one.vm == message.sender && !one.folder.empty() && one.folder != message.folder;
    });
    return found == members.end() ? nullptr : &*found;
}

RaftLog::RaftLog(LogSnapshot snapshot, std::vector<LogEntry> tail, Members firstMembers)
    : m_snapshot(std::move(snapshot))
    , m_tail(std::move(tail))
    , m_firstMembers(std::move(firstMembers))
{
    findMembers();
}

RaftTerm RaftLog::lastTerm() const
{
    return m_tail.empty() ? m_snapshot.term : m_tail.back().term;
}

std::optional<RaftTerm> RaftLog::termAt(LogIndex index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_snapshot.index || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

std::vector<LogEntry> RaftLog::from(LogIndex index, std::size_t maxEntries) const
{
    const auto begin = m_tail.begin() + static_cast<std::ptrdiff_t>(index - m_snapshot.index - 1);
    const auto left = static_cast<std::size_t>(m_tail.end() - begin);
    return {begin, begin + static_cast<std::ptrdiff_t>(std::min(maxEntries, left))};
}

std::vector<LogEntry> RaftLog::from(LogIndex index, std::size_t maxEntries,
                                    std::size_t maxBytes) const
{
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (count < maxEntries && index + count <= lastIndex()) {
        bytes += at(index + count).payload.size();
        if (count > 0 && bytes > maxBytes)
            break;
        ++count;
    }
    return from(index, count);
}

void RaftLog::append(const LogEntry &entry)
{
    m_tail.push_back(entry);
    if (entry.kind == EntryKind::Members)
        findMembers();
}

void RaftLog::truncateFrom(LogIndex index)
{
    m_tail.resize(index - m_snapshot.index - 1);
    findMembers();
}

void RaftLog::install(LogSnapshot snapshot)
{
    const bool continues = termAt(snapshot.index) == snapshot.term;
    std::vector<LogEntry> tail;
    if (continues)
        tail = from(snapshot.index + 1, m_tail.size());
    m_snapshot = std::move(snapshot);
    m_tail = std::move(tail);
    findMembers();
}

Members RaftLog::membersAt(LogIndex index) const
{
    for (auto entry = m_tail.rbegin(); entry != m_tail.rend(); ++entry) {
        if (entry->index <= index && entry->kind == EntryKind::Members)
            return decodeMembers(entry->payload);
    }
    return m_snapshot.members.empty() ? m_firstMembers : m_snapshot.members;
}

void RaftLog::findMembers()
{
    m_members = membersAt(lastIndex());
    m_membersIndex = m_snapshot.index;
    for (const LogEntry &entry : m_tail) {
        if (entry.kind == EntryKind::Members)
            m_membersIndex = entry.index;
    }
}

} // namespace nutmegtide
