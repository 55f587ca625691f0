#pragma once

#include "nutmegtide/failover/openchanges.h"

#include <mutex>
#include <optional>

namespace nutmegtide {

// Cache on a control VM that doesn't lead of the open changes that the leader told. They are
// fetched only while entry VMs ask for them. Thread-safe.
class OpenChangeCache
{
public:
    // Records that an entry VM needs changes that are as of now or later. Returns whether none did
    // before, so that the leader is to be asked at once.
    bool want(TimePoint now);
    // Returns whether the leader is to be asked now.
    bool isDue(TimePoint now) const;
    void put(OpenChanges changes);
    // The leader is of a version that tells no changes.
    void noteUntold(TimePoint now);
    // Returns whether the leader tells its changes, as far as is known.
    bool isTold() const;
    std::optional<OpenChanges> latest() const;

private:
    mutable std::mutex m_mutex;
    std::optional<TimePoint> m_wantedAt;
    std::optional<TimePoint> m_untoldAt;
    std::optional<OpenChanges> m_latest;
};

} // namespace nutmegtide
