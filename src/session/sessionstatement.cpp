#include "nutmegtide/session/sessionstatement.h"

#include <array>

namespace nutmegtide {

std::string_view toString(StatementKind kind)
{
    static constexpr std::array<std::string_view, 10> Names = {"begin",     "begin_read_only",
                                                               "commit",    "rollback",
                                                               "read",      "write",
                                                               "set_value", "prepare",
                                                               "execute",   "deallocate"};
    return Names.at(static_cast<std::size_t>(kind));
}

} // namespace nutmegtide
