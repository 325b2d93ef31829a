#include "bench/entry_pool.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace lagoondeck;

// Guards against an exception on a worker's thread, which ended the load tool without a result.
TEST_CASE("a connection that can't be made is a request without a reply")
{
    EntryPool pool("not an address", 1);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(pool.tryReserve());
        const SendResult result = pool.send("/v1/queries/e", "{}", std::chrono::seconds(1));
        CHECK(result.outcome != SendOutcome::Replied);
        CHECK_FALSE(result.problem.empty());
    }
}
