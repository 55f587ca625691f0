#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/settings/nodesettings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

// Identifies a link: a connection of another process for lanes.
using LinkKey = std::uint64_t;

// Limits of the memory and connections that links may use.
struct LinkLimitSettings
{
    std::size_t memory = 0; // bytes of all links together
    std::size_t mostLinks = 0;
    Duration frameTime {}; // for a frame to arrive whole, and for the first one

    bool operator==(const LinkLimitSettings &) const = default;
};

// Returns the limits of a process that may open so many descriptors.
LinkLimitSettings linkLimits(const ConnectionSettings &settings, std::size_t descriptors);

// Decides which links are closed, so that their number and what they take stay bounded.
//
// A link takes the memory of its incomplete frame and what is held for it: its lanes, their
// commands without an answer and the answers that it hasn't read. To count the latter exactly with
// each frame would cost too much, so that what a frame adds is noted, and `measure` is called for
// the link with the most once all links together have more than is allowed. The link that still has
// the most then is closed. Where there are as many links as are allowed, the oldest one that has
// never sent a whole frame makes room for a new one.
//
//   const auto dropped = limits.add(link, now); // may be the new link itself
//   limits.frameTaken(link, now);
//   limits.noteHeld(link, bytes);
//   limits.setIncomplete(link, size, memory, now);
//   for (const LinkKey dropped : limits.takeExcess()) ...
class LinkLimits
{
public:
    // Returns the bytes that are held for a link now.
    using Measure = std::function<std::size_t(LinkKey)>;

    LinkLimits(const LinkLimitSettings &settings, Measure measure)
        : m_settings(settings)
        , m_measure(std::move(measure))
    { }

    // Adds a link. Returns the link to close for it, if there is one too many.
    std::optional<LinkKey> add(LinkKey link, TimePoint now);
    void remove(LinkKey link);
    // A whole frame has arrived.
    void frameTaken(LinkKey link, TimePoint now);
    // Sets the bytes of the frame that is arriving, 0 between frames, and its buffer's memory.
    void setIncomplete(LinkKey link, std::size_t bytes, std::size_t memory, TimePoint now);
    // Notes bytes that are held for the link from now on, at least for some time.
    void noteHeld(LinkKey link, std::size_t bytes);
    // Returns the links to close so that the others stay within the limit, and removes them.
    std::vector<LinkKey> takeExcess();
    // Returns the links whose frame is overdue, and removes them. Searches them a few times a
    // second, however often it is called.
    std::vector<LinkKey> takeOverdue(TimePoint now);
    // Returns the bytes of all links, as they were noted or measured.
    std::size_t memory() const { return m_memory; }

private:
    struct Link
    {
        bool hasSentFrame = false;
        std::size_t incomplete = 0; // bytes of the frame that is arriving
        std::size_t buffer = 0; // bytes of its memory
        std::size_t measured = 0;
        std::size_t noted = 0; // bytes since the measurement
        TimePoint waitingSince; // for the first frame, or for the rest of one

        std::size_t total() const { return buffer + measured + noted; }
    };

    template <typename Change>
    void update(LinkKey link, Change change);

    const LinkLimitSettings m_settings;
    const Measure m_measure;
    std::map<LinkKey, Link> m_links;
    std::set<LinkKey> m_withoutFrame; // the oldest one is first
    std::set<std::pair<std::size_t, LinkKey>> m_bySize;
    std::size_t m_memory = 0;
    TimePoint m_searchAt {}; // no search for overdue links before
};

} // namespace nutmegtide
