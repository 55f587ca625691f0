#include "nutmegtide/base/endpoint.h"

#include "nutmegtide/base/errors.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("endpoints are read and written in one form")
{
    struct Row
    {
        const char *text;
        const char *address;
        std::uint16_t port;
    };
    const Row rows[] = {
            {"127.0.0.1:80", "127.0.0.1", 80},
            {"[::1]:8080", "::1", 8080},
            {"10.0.0.1:0", "10.0.0.1", 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        const Endpoint endpoint = parseEndpoint(row.text);
        CHECK(endpoint.address == row.address);
        CHECK(endpoint.port == row.port);
        CHECK(toString(endpoint) == row.text);
    }
}

TEST_CASE("text that is no endpoint is a typed error")
{
    for (const char *text : {"", "host:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
                             "127.0.0.1:8x", "::1", "256.0.0.1:1"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parseEndpoint(text), EndpointError);
    }
}
