#pragma once

#include "nutmegtide/events/event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtide {

// What one process handed over.
struct TimelinePart
{
    VmName vm;
    std::uint64_t dropped = 0; // events that its ring no longer held
    std::vector<Event> events; // in the order of recording
};

// A process whose events couldn't be collected.
struct UnreachableVm
{
    VmName vm;
    std::string reason;
};

// Events that one process no longer had.
struct DroppedEvents
{
    VmName vm;
    std::uint64_t count = 0;
};

// A stretch without a primary in one database group, or one that isn't over yet.
struct TimelineGap
{
    DatabaseName database;
    EventId begin; // primary_suspected
    EventId end; // primary_published; empty while the gap lasts
    std::int64_t microseconds = 0; // by hybrid stamps; up to the last event while the gap lasts
};

// The merged events of a fleet.
struct Timeline
{
    std::vector<Event> events; // causes stand before their effects
    std::vector<DroppedEvents> dropped; // only processes that dropped some
    std::vector<UnreachableVm> unreachable;
    std::vector<TimelineGap> gaps;
};

// Merges the parts. Events stand in the order of their stamps, except that an event never
// stands before its cause or before an earlier event of the same process, so clocks that
// disagree by minutes don't break the order of cause and effect. An event that came twice
// stands once, and a cycle of causes, which only a faulty process can make, is broken at
// its lowest stamp.
//
//   const Timeline timeline = mergeTimeline(parts, unreachable);
//   std::cout << renderText(timeline);
Timeline mergeTimeline(const std::vector<TimelinePart> &parts,
                       const std::vector<UnreachableVm> &unreachable = {});

// Writes a table: time, VM, failure domain, event, database, term, request id, details, cause.
// Control characters in values are escaped, so an event is one line.
std::string renderText(const Timeline &timeline);
// Writes one JSON object with the fields of Timeline.
std::string renderJson(const Timeline &timeline);
// Writes one page that needs no other file: a lane per process, filters, shaded gaps.
std::string renderHtml(const Timeline &timeline);

} // namespace nutmegtide
