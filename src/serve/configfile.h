#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/control/configledger.h"

#include <string>

namespace nutmegtide {

// A file of the configuration that can't be read or written.
class ConfigFileError : public Error
{
public:
    using Error::Error;
};

// The latest revision on this VM's disk. It is replaced as a whole: a crash leaves the old
// file or the new one.
class ConfigFile
{
public:
    // An empty folder stands for a VM without a disk: nothing is read or written.
    explicit ConfigFile(const std::string &dataDir);

    // Returns revision 0 where there is no file. Throws ConfigFileError for a damaged one.
    ConfigRevision read() const;
    // Returns once the revision is synced. Throws ConfigFileError.
    void write(const ConfigRevision &revision) const;

private:
    std::string m_folder;
    std::string m_path;
};

} // namespace nutmegtide
