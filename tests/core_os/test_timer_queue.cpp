#include "core/os/timer_queue.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

constexpr Instant start {};
constexpr Timer deadline {TimerKind::QueryDeadline, 1};
constexpr Timer hedge {TimerKind::Hedge, 1};

} // namespace

TEST_CASE("Timers expire in the order of their times")
{
    TimerQueue timers;
    timers.set(deadline, start + 20ms);
    timers.set(hedge, start + 10ms);
    CHECK(timers.next() == start + 10ms);
    CHECK(timers.takeExpired(start + 9ms).empty());
    CHECK(timers.takeExpired(start + 30ms) == std::vector {hedge, deadline});
    CHECK_FALSE(timers.next());
}

TEST_CASE("Setting a timer again replaces its time")
{
    TimerQueue timers;
    timers.set(deadline, start + 10ms);
    timers.set(deadline, start + 50ms);
    CHECK(timers.size() == 1);
    CHECK(timers.takeExpired(start + 10ms).empty());
    CHECK(timers.takeExpired(start + 50ms) == std::vector {deadline});
}
