#include "logic/limits/in_flight_limit.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t ceiling = 8;
constexpr std::uint32_t slots = 2;

} // namespace

TEST_CASE("The limit shrinks with each shed and grows again while it is reached")
{
    InFlightLimit limit;
    RandomEngine random(3);
    Instant now {1s};
    limit.onAnswered(10ms, 10ms, false, ceiling, now);
    CHECK(limit.value() == ceiling);
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        limit.onShed(10ms, slots, now, random);
    }
    CHECK(limit.value() == 1);
    now += 1s;
    for (int i = 0; i < 400; ++i) {
        now += 10ms;
        limit.onAnswered(10ms, 10ms, true, ceiling, now);
    }
    CHECK(limit.value() == ceiling);
}

TEST_CASE("Queueing at the target shrinks the limit at most once per baseline latency")
{
    InFlightLimit limit;
    Instant now {1s};
    limit.onAnswered(10ms, 10ms, false, ceiling, now);
    limit.onAnswered(30ms, 10ms, true, ceiling, now);
    const auto once = limit.value();
    CHECK(once < ceiling);
    limit.onAnswered(30ms, 10ms, true, ceiling, now + 1ms);
    CHECK(limit.value() == once);
}

TEST_CASE("The instance backs off after a shed, longer with each consecutive one")
{
    InFlightLimit limit;
    RandomEngine random(3);
    Instant now {1s};
    limit.onShed(20ms, slots, now, random);
    CHECK_FALSE(limit.allows(0, now));
    CHECK(limit.backoffEnd() >= now + 5ms);
    CHECK(limit.backoffEnd() <= now + 15ms);
    CHECK(limit.allows(0, limit.backoffEnd()));
    for (int i = 0; i < 4; ++i) {
        now = limit.backoffEnd();
        limit.onShed(20ms, slots, now, random);
    }
    CHECK(limit.backoffEnd() > now + 50ms);
}

TEST_CASE("The limit stays between one and the ceiling, and one sub-request is allowed after the "
          "backoff")
{
    const bool holds = rc::check("limit bounds", [] {
        InFlightLimit limit;
        RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
        Instant now {1s};
        limit.onAnswered(10ms, 10ms, false, ceiling, now);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        for (const int step : steps) {
            now += 1ms * *rc::gen::inRange(0, 40);
            if (step == 0) {
                limit.onShed(10ms, slots, now, random);
            } else {
                limit.onAnswered(10ms * step, 10ms, step == 1, ceiling, now);
            }
            RC_ASSERT(limit.value() >= 1U);
            RC_ASSERT(limit.value() <= ceiling);
            RC_ASSERT(!limit.allows(limit.value(), now));
            RC_ASSERT(limit.allows(0, std::max(now, limit.backoffEnd())));
        }
    });
    CHECK(holds);
}
