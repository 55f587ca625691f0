#include "site/firstmembers.h"

#include "unit/control/fakedisk.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("the first members are stored until the disk is lost")
{
    const std::vector<VmName> seeds {VmName("a:1"), VmName("b:1"), VmName("c:1")};
    FakeDisk disk;
    CHECK(firstMembers(disk, false, seeds).empty()); // the VM was added later
    CHECK((firstMembers(disk, true, seeds) == seeds));
    disk.crash();
    CHECK((firstMembers(disk, false, {VmName("d:1")}) == seeds));
    disk.empty();
    CHECK(firstMembers(disk, false, seeds).empty());
}

TEST_CASE("a crash while the first members are written stores all of them or none")
{
    const std::vector<VmName> seeds {VmName("a:1"), VmName("b:1"), VmName("c:1")};
    for (std::size_t crash = 0; crash < 5; ++crash) {
        CAPTURE(crash);
        FakeDisk disk;
        disk.crashBefore = crash;
        try {
            firstMembers(disk, true, seeds);
        } catch (const FakeCrash &) {
            disk.crash();
        }
        const std::vector<VmName> found = firstMembers(disk, false, seeds);
        CHECK((found.empty() || found == seeds));
    }
}
