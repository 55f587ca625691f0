#include "nutmegtide/base/jsondepth.h"

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/errors.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

std::string nested(std::size_t levels, const std::string &inside = "")
{
    return std::string(levels, '[') + inside + std::string(levels, ']');
}

} // namespace

TEST_CASE("nesting is counted outside of strings only")
{
    struct Row
    {
        std::string text;
        bool isTooDeep;
    };
    const Row rows[] = {
            {"", false},
            {"{}", false},
            {nested(DeepestJson), false},
            {nested(DeepestJson + 1), true},
            {std::string(1'000'000, '['), true},
            {"\"" + std::string(100, '[') + "\"", false},
            {R"("\")" + std::string(100, '[') + "\"", false},
            {R"("\\")" + std::string(100, '['), true},
            {std::string(100, ']') + nested(DeepestJson + 1), true},
            {"[" + std::string(200, ' ') + "[],[],[]]", false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text.substr(0, 40));
        CHECK(isTooDeepJson(row.text) == row.isTooDeep);
    }
}

TEST_CASE("a message that nests too deep is refused with a type")
{
    // Without a limit this parses, and the first copy of it exhausts the stack.
    const std::string deep = nested(400'000, "1");
    const std::string body = R"({"request_id":"r","term":1,"role":"primary",)"
                             R"("position":{"term":1,"index":1},"replay":false,"result":)"
            + deep + "}";
    CHECK_THROWS_AS(parseMessage<ExecuteReply>(body), MessageError);
}
