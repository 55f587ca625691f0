#include "standin/journal.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace nutmegtide;
using namespace nutmegtide::standin;

TEST_CASE("a journal gives back its records without a torn tail")
{
    const char *tails[] = {"", "{\"x\":", "{\"x\":1}", "{\"x\":\n{\"y\":1}\n"};
    const std::string path = std::filesystem::temp_directory_path()
            / ("standin-journal-" + std::to_string(getpid()));
    for (const char *tail : tails) {
        CAPTURE(tail);
        std::filesystem::remove(path);
        {
            Journal journal(path);
            CHECK(journal.records().empty());
            journal.append({{"n", 1}});
        }
        std::ofstream(path, std::ios::app) << tail;
        Journal(path).append({{"n", 2}});
        const Journal journal(path);
        REQUIRE(journal.records().size() == 2);
        CHECK(journal.records()[0] == Json({{"n", 1}}));
        CHECK(journal.records()[1] == Json({{"n", 2}}));
    }
    std::filesystem::remove(path);
}
