#include "serve/configfile.h"

#include "unit/settings/temporaryfolder.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("the configuration on disk is read back whole, absent or refused")
{
    const TemporaryFolder folder;
    const ConfigFile file(folder.path());
    CHECK(file.read() == ConfigRevision());
    const ConfigRevision first {7, "[reads]\n", ChangeId("a")};
    const ConfigRevision second {8, "[limits]\n", ChangeId("b")};
    file.write(first);
    file.write(second);
    CHECK(ConfigFile(folder.path()).read() == second);
    // A crash while the next one is written leaves a part of it beside the file.
    folder.write("config.json.new", "{\"revision\":9");
    CHECK(file.read() == second);

    struct Row
    {
        const char *what;
        const char *content;
    };
    const Row rows[] = {
            {"empty", ""},
            {"torn", R"({"revision":8,"toml":"[li)"},
            {"a member is missing", R"({"revision":8,"toml":"[limits]\n","change_id":"b"})"},
            {"another checksum",
             R"({"revision":9,"toml":"[limits]\n","change_id":"b","checksum":1})"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        folder.write("config.json", row.content);
        CHECK_THROWS_AS(file.read(), ConfigFileError);
    }
}

TEST_CASE("a VM without a disk keeps nothing, and a missing folder is a typed error")
{
    const ConfigFile none("");
    none.write({7, "[reads]\n", ChangeId("a")});
    CHECK(none.read() == ConfigRevision());
    const TemporaryFolder folder;
    const ConfigFile missing(folder.path() + "/missing");
    CHECK_THROWS_AS(missing.write({7, "", ChangeId("a")}), ConfigFileError);
}
