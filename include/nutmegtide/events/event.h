#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/events/hybridclock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegtide {

// "vm-incarnation-sequence", unique in the fleet.
using EventId = Name<struct EventIdTag>;

// What happened. docs/TIMELINE.md explains each kind to operators.
enum class EventKind {
    NodeStarted,
    NodeDraining,
    NodeStopped,
    ServerAnnounced,
    ServerLost,
    ServerLeaving,
    PrimarySuspected,
    PrimaryChangeStarted,
    GroupFenced,
    PrimaryChosen,
    PrimaryPromoted,
    PrimaryPublished,
    PrimaryChangeFailed,
    WriteUnknown,
    StatementRefused,
    TransactionLost,
    ConfigAccepted,
    ConfigInForce,
    ConfigConflict,
    MemberJoined,
    MemberSuspected,
    MemberDead,
    ControlLeader,
    ControlSteppedDown,
    SnapshotTaken,
    LogRecovered,
    PowerOrdered,
    PowerConfirmed,
    ChartTransition,
    HomeChanged,
    ConnectionClosed,
    Other, // a kind that this version doesn't know; details["kind"] holds its name
};

// Returns the name on the wire, for example "primary_suspected".
std::string_view toString(EventKind kind);
std::optional<EventKind> eventKindFromString(std::string_view text);
const std::vector<EventKind> &allEventKinds();

// What the recording code says about an event; fields that don't apply stay empty.
struct EventFields
{
    DatabaseName database {};
    Term term = 0; // 0 for none
    RequestId request {};
    std::map<std::string, std::string> details {};
};

// One entry of the time line.
struct Event
{
    HlcTime time;
    VmName vm;
    FailureDomain failureDomain;
    EventKind kind = EventKind::Other;
    DatabaseName database;
    Term term = 0; // 0 for none
    RequestId request;
    EventId id;
    EventId cause; // empty for none
    std::map<std::string, std::string> details;

    bool operator==(const Event &) const = default;
};

// JSON that is not an event.
class EventError : public MessageError
{
public:
    using MessageError::MessageError;
};

// Writes one line of JSON without a line end. Bytes that are not UTF-8 are replaced.
std::string toJson(const Event &event);
// Reads what toJson() wrote. Throws EventError.
Event eventFromJson(std::string_view json);

} // namespace nutmegtide
