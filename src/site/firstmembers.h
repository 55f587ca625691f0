#pragma once

#include "control/disk.h"
#include "nutmegtide/base/ids.h"

#include <vector>

namespace nutmegtide {

// Returns the names of the first members of an empty control log; the result is empty for a VM that
// waits until it is added as a member. At the first start the seeds are the first members, and are
// stored on the disk, so that a VM that stops before the group has formed can still form it after a
// restart. A VM whose disk was lost since then is no longer a first member. Throws LogStorageError.
std::vector<VmName> firstMembers(Disk &disk, bool isFirstStart, const std::vector<VmName> &seeds);

} // namespace nutmegtide
