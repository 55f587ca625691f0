#include <doctest/doctest.h>

#include <filesystem>

TEST_CASE("the programs that process tests start are built")
{
    CHECK(std::filesystem::exists(NUTMEGTIDE_BINARY));
    CHECK(std::filesystem::exists(STANDIN_BINARY));
}
