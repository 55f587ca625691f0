#include "base/descriptors.h"

#include <sys/resource.h>

namespace nutmegtide {

std::size_t mostDescriptors()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace nutmegtide
