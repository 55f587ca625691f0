#include "site/firstmembers.h"

#include <sstream>

namespace nutmegtide {

namespace {

const std::string FileName = "first_members"; // one name per line
const std::string NewFileName = "first_members.new";

} // namespace

std::vector<VmName> firstMembers(Disk &disk, bool isFirstStart, const std::vector<VmName> &seeds)
{
    if (isFirstStart) {
        std::string text;
        for (const VmName &seed : seeds)
            text += seed.text() + '\n';
        if (disk.exists(NewFileName))
            disk.remove(NewFileName);
        disk.append(NewFileName, text);
        disk.sync(NewFileName);
        disk.rename(NewFileName, FileName);
        disk.syncFolder();
        return seeds;
    }
    std::vector<VmName> names;
    if (!disk.exists(FileName))
        return names;
    std::istringstream lines(disk.read(FileName));
    for (std::string line; std::getline(lines, line);)
        names.emplace_back(line);
    return names;
}

} // namespace nutmegtide
