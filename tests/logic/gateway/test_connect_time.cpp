#include "logic/gateway/connect_time.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using std::chrono::milliseconds;

TEST_CASE("an attempt to connect that hangs is given up soon where connecting is fast")
{
    ConnectTime time;
    const Duration atFirst = time.limit();
    for (int i = 0; i < 20; ++i) {
        time.onConnected(milliseconds(i % 2 == 0 ? 1 : 3));
    }
    CHECK(time.limit() < atFirst);
    CHECK(time.limit() <= milliseconds(150));
    CHECK(time.limit() >= milliseconds(100));
}

TEST_CASE("distant targets get more time to connect")
{
    ConnectTime time;
    for (int i = 0; i < 50; ++i) {
        time.onConnected(milliseconds(120));
    }
    CHECK(time.limit() >= milliseconds(240));
    CHECK(time.limit() < milliseconds(800));
}

TEST_CASE("connecting that becomes slow is not given up for long")
{
    ConnectTime time;
    for (int i = 0; i < 50; ++i) {
        time.onConnected(milliseconds(2));
    }
    // A connection that took almost the whole limit raises it.
    for (int i = 0; i < 5; ++i) {
        const Duration limit = time.limit();
        time.onConnected(limit * 9 / 10);
        CHECK((time.limit() > limit || limit == milliseconds(800)));
    }
}
