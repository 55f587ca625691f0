#pragma once

#include "nutmegtide/events/eventfile.h"
#include "nutmegtide/events/eventring.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace nutmegtide {

// Who records.
struct RecorderIdentity
{
    VmName vm;
    FailureDomain failureDomain;
    Incarnation incarnation = 0;
};

// The one place through which a process records events. Thread-safe.
//
//   Recorder recorder({vm, domain, incarnation}, 10'000);
//   const EventId suspected = recorder.record(EventKind::PrimarySuspected, {.database = db, .term =
//   4}); recorder.record(EventKind::PrimaryChangeStarted, {.database = db, .term = 5}, suspected);
class Recorder
{
public:
    using Now = std::function<WallTime()>;

    // Keeps up to `ringSize` events in memory.
    Recorder(RecorderIdentity identity, std::size_t ringSize, Now now = WallClock::now);

    // From now on also appends each event to a file.
    void attachFile(std::unique_ptr<EventFile> file);
    EventId record(EventKind kind, const EventFields &fields = {}, const EventId &cause = {});
    // Returns the latest event here that belongs to a change of the database's
    // primary, empty for none: the likely cause of a statement's failure.
    EventId latestChange(const DatabaseName &database) const;

    // Returns the stamp to put into an outgoing message.
    HlcTime stamp();
    // Takes in the stamp of an incoming message, before events that it causes are recorded.
    void observe(const HlcTime &remote);

    const EventRing &ring() const { return m_ring; }
    const RecorderIdentity &identity() const { return m_identity; }
    // Counts events that reached the ring, but not the file.
    std::uint64_t fileFailures() const;

private:
    void appendToFile(const Event &event);

    const RecorderIdentity m_identity;
    const Now m_now;
    EventRing m_ring;
    mutable std::mutex m_mutex;
    HybridClock m_clock;
    std::map<DatabaseName, EventId> m_latestChanges;
    std::unique_ptr<EventFile> m_file;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fileFailures = 0;
};

} // namespace nutmegtide
