#pragma once

#include <sys/resource.h>

namespace nutmegtide::test {

// Lowers a limit that the processes started meanwhile inherit.
class LoweredLimit
{
public:
    LoweredLimit(int resource, rlim_t value)
        : m_resource(resource)
    {
        getrlimit(resource, &m_before);
        const rlimit lowered {value, m_before.rlim_max};
        setrlimit(resource, &lowered);
    }
    ~LoweredLimit() { setrlimit(m_resource, &m_before); }
    LoweredLimit(const LoweredLimit &) = delete;
    LoweredLimit &operator=(const LoweredLimit &) = delete;

private:
    const int m_resource;
    rlimit m_before {};
};

} // namespace nutmegtide::test
