#include "linebuffer.h"

#include <doctest/doctest.h>
#include <vector>

using namespace nutmegtide::platform;

TEST_CASE("lines are returned complete, however the bytes are fragmented")
{
    const std::string text = "START a\r\nQUERY 1 READ x\nBYE\r\nrest";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        CAPTURE(size);
        LineBuffer buffer;
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < text.size(); at += size) {
            buffer.append(std::string_view(text).substr(at, size));
            while (const auto line = buffer.next())
                lines.push_back(*line);
        }
        CHECK(lines == std::vector<std::string> {"START a", "QUERY 1 READ x", "BYE"});
        CHECK(buffer.size() == 4);
    }
}

TEST_CASE("a line of more than 1 MiB is refused before it is complete")
{
    LineBuffer buffer;
    buffer.append(std::string(LineBuffer::LongestLine, 'x'));
    CHECK_FALSE(buffer.next());
    buffer.append("xx");
    CHECK_THROWS_AS(buffer.next(), LineTooLongError);
}
