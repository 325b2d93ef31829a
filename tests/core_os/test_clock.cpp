#include "core/os/clock.h"

#include <catch2/catch.hpp>
#include <ctime>

using namespace lagoondeck;

// Guards against permissions that are used after they ran out while the machine was suspended.
TEST_CASE("the clock of time limits and permissions advances while the machine is suspended")
{
    CHECK(monotonicClock == CLOCK_BOOTTIME);
    timespec time {};
    REQUIRE(clock_gettime(CLOCK_BOOTTIME, &time) == 0);
    const Instant sinceBoot(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    const Duration difference = monotonicNow() - sinceBoot;
    CHECK(difference >= Duration(0));
    CHECK(difference < std::chrono::seconds(1));
}
