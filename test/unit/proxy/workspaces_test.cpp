#include "nutmegtide/proxy/workspaces.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

KeyDigest key(const std::string &text)
{
    return KeyDigest(text);
}

} // namespace

TEST_CASE("a key leads to the workspace that holds it")
{
    WorkspaceTable table;
    const OperationCap cap {100, 150};
    CHECK(table.add({WorkspaceName("casks"), 1, cap}, {key("k1"), key("k2")})
          == WorkspaceTable::Conflict::None);
    CHECK(table.add({WorkspaceName("blend"), 2, {}}, {key("k3")}) == WorkspaceTable::Conflict::None);
    CHECK(table.add({WorkspaceName("closed"), 2, {}}, {}) == WorkspaceTable::Conflict::None);
    struct Row
    {
        const char *key;
        const char *workspace; // empty: none
    };
    for (const Row &row : {Row {"k1", "casks"}, Row {"k2", "casks"}, Row {"k3", "blend"},
                           Row {"k4", ""}, Row {"k", ""}, Row {"k11", ""}, Row {"closed", ""}}) {
        CAPTURE(std::string(row.key));
        const Workspace *found = table.findByKey(key(row.key));
        CHECK((found == nullptr ? "" : found->name.text()) == row.workspace);
    }
    CHECK(table.findByKey({}) == nullptr);
    CHECK(table.find(WorkspaceName("casks"))->cap == cap);
    CHECK_FALSE(table.find(WorkspaceName("blend"))->cap.isSet());
}

TEST_CASE("two workspaces have neither a key nor a name in common")
{
    WorkspaceTable table;
    table.add({WorkspaceName("casks"), 1, {}}, {key("k1"), key("k1")});
    CHECK(table.add({WorkspaceName("blend"), 1, {}}, {key("k2"), key("k1")})
          == WorkspaceTable::Conflict::SharedKey);
    CHECK(table.add({WorkspaceName("casks"), 1, {}}, {key("k3")})
          == WorkspaceTable::Conflict::SameName);
}
