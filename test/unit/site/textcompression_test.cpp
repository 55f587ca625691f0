#include "site/textcompression.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("compressed text is restored unchanged, and repetitive text takes far fewer bytes")
{
    std::string routes;
    for (int i = 0; i < 1000; ++i)
        routes += R"({"name":"r)" + std::to_string(i) + R"(","service":"huvo11a"},)";
    for (const std::string &text : {std::string(), std::string("x"), routes})
        CHECK(decompress(compress(text)) == text);
    CHECK(compress(routes).size() * 5 < routes.size());
}

TEST_CASE("bytes that compress() didn't write are refused")
{
    const std::string good = compress("some text that is long enough to be cut");
    for (std::size_t size = 0; size < good.size(); ++size)
        CHECK_THROWS_AS(decompress(good.substr(0, size)), CompressionError);
    CHECK_THROWS_AS(decompress("\xff\xff\xff\xff garbage"), CompressionError);
}
