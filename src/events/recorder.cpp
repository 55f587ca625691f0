#include "nutmegtide/events/recorder.h"

#include <algorithm>
#include <array>

namespace nutmegtide {

namespace {

constexpr std::array ChangeKinds = {EventKind::PrimarySuspected,   EventKind::PrimaryChangeStarted,
                                    EventKind::GroupFenced,        EventKind::PrimaryChosen,
                                    EventKind::PrimaryPromoted,    EventKind::PrimaryPublished,
                                    EventKind::PrimaryChangeFailed};

bool isPartOfChange(EventKind kind)
{
    return std::find(ChangeKinds.begin(), ChangeKinds.end(), kind) != ChangeKinds.end();
}

} // namespace

Recorder::Recorder(RecorderIdentity identity, std::size_t ringSize, Now now)
    : m_identity(std::move(identity))
    , m_now(std::move(now))
    , m_ring(ringSize)
{ }

void Recorder::attachFile(std::unique_ptr<EventFile> file)
{
    const std::lock_guard lock(m_mutex);
    m_file = std::move(file);
}

EventId Recorder::record(EventKind kind, const EventFields &fields, const EventId &cause)
{
    const std::lock_guard lock(m_mutex);
    Event event;
    event.time = m_clock.tick(m_now());
    event.vm = m_identity.vm;
    event.failureDomain = m_identity.failureDomain;
    event.kind = kind;
    event.database = fields.database;
    event.term = fields.term;
    event.request = fields.request;
    event.id = EventId(m_identity.vm.text() + '-' + std::to_string(m_identity.incarnation) + '-'
                       + std::to_string(++m_sequence));
    event.cause = cause;
    event.details = fields.details;
    EventId id = event.id;
    if (isPartOfChange(kind))
        m_latestChanges[event.database] = id;
    appendToFile(event);
    m_ring.push(std::move(event));
    return id;
}

EventId Recorder::latestChange(const DatabaseName &database) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_latestChanges.find(database);
    return found == m_latestChanges.end() ? EventId() : found->second;
}

HlcTime Recorder::stamp()
{
    const std::lock_guard lock(m_mutex);
    return m_clock.tick(m_now());
}

void Recorder::observe(const HlcTime &remote)
{
    const std::lock_guard lock(m_mutex);
    m_clock.observe(remote, m_now());
}

std::uint64_t Recorder::fileFailures() const
{
    const std::lock_guard lock(m_mutex);
    return m_fileFailures;
}

void Recorder::appendToFile(const Event &event)
{
    if (!m_file)
        return;
    try {
        m_file->append(event);
    } catch (const EventFileError &) {
        ++m_fileFailures;
    }
}

} // namespace nutmegtide
