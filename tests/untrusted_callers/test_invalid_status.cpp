#include "daemon_fixture.h"
#include "tests/drivers_edge/raw_caller.h"

#include <catch2/catch.hpp>
#include <string>

using namespace lagoondeck;
using namespace lagoondeck::untrustedtest;

// Guards against passing on a status that no final reply can have, and against waiting until the
// deadline for a reply after one that is not valid.
TEST_CASE("a reply with an invalid status line is answered with 502 and not passed on")
{
    const std::string line = GENERATE(
            "HTTP/1.1 000 A", "HTTP/1.1 099 A", "HTTP/1.1 101 A", "HTTP/1.1 600 A",
            "HTTP/1.1 999 A", "HTTP/1.1 2 A", "HTTP/1.1 20 A", "HTTP/1.1 2000 A", "HTTP/2.0 200 A",
            "HTTP/0.9 200 A", "HTTP/1.2 200 A", "HTTP/3 200 A", "ICY 200 A", "200 A");
    INFO(line);
    DaemonFixture fixture(manyDescriptors,
                          line
                                  + "\r\nRequest-Id: c\r\nServer-Stamp: endless/c\r\n"
                                    "Content-Length: 2\r\n\r\nok",
                          "x");
    edgetest::RawCaller caller(fixture.callerAddress());
    const edgetest::CallerView view = caller.call("/endless/x", "c");
    INFO(view.head);
    CHECK(view.status == 502);
}

// Guards against taking a reply with an invalid status for the answer of a part.
TEST_CASE("a gathered answer lacks the part whose reply has an invalid status")
{
    const std::string line = GENERATE("HTTP/1.1 999 A", "HTTP/1.1 600 A", "HTTP/1.1 099 A");
    INFO(line);
    DaemonFixture fixture(manyDescriptors,
                          line
                                  + "\r\nRequest-Id: c\r\nServer-Stamp: endless/c\r\n"
                                    "Content-Length: 16\r\n\r\nzzzzzzzzzzzzzzzz",
                          "x");
    edgetest::RawCaller caller(fixture.callerAddress());
    const edgetest::CallerView view = caller.call("/all/x", "c");
    INFO(view.head);
    CHECK(view.status == 200);
    CHECK(view.head.find("tg0/c") != std::string::npos);
    CHECK(view.head.find("endless/c") == std::string::npos);
}
