#include "linebuffer.h"

#include <doctest/doctest.h>
#include <vector>

using namespace nutmegtide::platform;

// Guards against a line feed in a caller's data that ends its line: the data was cut off, and what
// followed ran as another statement.
TEST_CASE("lines end with CR LF only, and are returned complete however the bytes are fragmented")
{
    const std::string text =
            "START a\r\nQUERY 1 WRITE x a\nQUERY 2 WRITE y\rb\r\r\n\n\r\n\r\nBYE\r\nrest";
    const std::vector<std::string> expected = {"START a", "QUERY 1 WRITE x a\nQUERY 2 WRITE y\rb\r",
                                               "\n", "", "BYE"};
    for (std::size_t size = 1; size <= text.size(); ++size) {
        CAPTURE(size);
        LineBuffer buffer;
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < text.size(); at += size) {
            buffer.append(std::string_view(text).substr(at, size));
            while (const auto line = buffer.next())
                lines.push_back(*line);
        }
        CHECK(lines == expected);
        CHECK(buffer.size() == 4);
    }
}

TEST_CASE("a line of 1 MiB is taken, and one of more is refused before it is complete")
{
    const std::string longest(LineBuffer::LongestLine, 'x');
    LineBuffer buffer;
    for (const char *const part : {longest.c_str(), "\r"}) {
        buffer.append(part);
        CHECK_FALSE(buffer.next());
    }
    buffer.append("\n");
    CHECK(buffer.next() == longest);

    for (const char *const more : {"x", "\n", "\r\r"}) {
        LineBuffer overfull;
        overfull.append(longest);
        CHECK_FALSE(overfull.next());
        overfull.append(more);
        CHECK_THROWS_AS(overfull.next(), LineTooLongError);
    }
}

// Guards against connections that keep the memory of a long line while they are idle.
TEST_CASE("an empty buffer gives the memory of a long line back")
{
    constexpr std::size_t MostKept = 16'384; // bytes
    LineBuffer buffer;
    buffer.append(std::string(LineBuffer::LongestLine / 2, 'x'));
    CHECK_FALSE(buffer.next());
    CHECK(buffer.memory() >= LineBuffer::LongestLine / 2);
    buffer.append("\r\n");
    CHECK(buffer.next());
    CHECK_FALSE(buffer.next());
    CHECK(buffer.memory() <= MostKept);
}
