#include "nutmegtide/base/text.h"

#include "nutmegtide/base/errors.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace nutmegtide;

namespace {

using Json = nlohmann::json;

} // namespace

TEST_CASE("text is told apart by whether it is UTF-8, and whether it is one field of a line")
{
    struct Row
    {
        std::string text;
        bool isUtf8;
        bool isWord;
    };
    const Row rows[] = {
            {"i-7f3a91c2", true, true},
            {"r\xc3\xa9gion", true, true},
            {"", true, false},
            {"two words", true, false},
            {"line\nfeed", true, false},
            {"return\r", true, false},
            {std::string("nul\0byte", 8), true, false},
            {"delete\x7f", true, false},
            {"i-\xff", false, false},
            {"cut \xc3", false, false},
            {"overlong \xc0\xaf", false, false},
            {"surrogate \xed\xa0\x80", false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        CHECK(isUtf8(row.text) == row.isUtf8);
        CHECK(isWord(row.text) == row.isWord);
    }
}

TEST_CASE("JSON that holds other bytes than UTF-8 is refused where it is read again, and shown "
          "where not")
{
    const Json json {{"server", "i-\xff"}};
    CHECK_THROWS_AS(encodeJson(json), MessageError);
    CHECK(encodeJsonLossy(json) == "{\"server\":\"i-\xef\xbf\xbd\"}");
    CHECK(encodeJson(Json {{"server", "i-1"}}) == "{\"server\":\"i-1\"}");
}
