#include "drivers/edge/arrival_bound.h"
#include "drivers/edge/byte_arrivals.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

constexpr Instant start {100s};

} // namespace

TEST_CASE("data that ends a wait has just arrived")
{
    ArrivalBound bound;
    bound.onWaited(start, 100ms, start + 40ms);
    CHECK(bound.arrivedAfter() == start + 40ms);
}

// Guards against callers' time that starts when a busy event loop reads their requests.
TEST_CASE("data that is there at once may have arrived while the loop was busy")
{
    ArrivalBound bound;
    bound.onWaited(start, 100ms, start + 40ms);
    bound.onWaited(start + 640ms, 0ms, start + 640ms);
    CHECK(bound.arrivedAfter() == start + 40ms);
}

// Guards against callers' time that starts when a process continues after a pause.
TEST_CASE("data after a wait that took too long may have arrived during the whole wait")
{
    ArrivalBound bound;
    bound.onWaited(start, 100ms, start + 3s);
    CHECK(bound.arrivedAfter() == start);
}

TEST_CASE("each byte of a buffer keeps the time of its arrival")
{
    ByteArrivals arrivals;
    arrivals.add(10, start);
    arrivals.add(5, start + 1s);
    arrivals.remove(9);
    CHECK(arrivals.first() == start);
    arrivals.remove(1);
    CHECK(arrivals.first() == start + 1s);
    arrivals.remove(5);
    arrivals.add(1, start + 2s);
    CHECK(arrivals.first() == start + 2s);
}
