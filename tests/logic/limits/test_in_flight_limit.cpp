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
    CHECK(limit.whole() == ceiling);
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        limit.onShed(10ms, slots, now, random);
    }
    CHECK(limit.whole() == 1);
    now += 1s;
    for (int i = 0; i < 400; ++i) {
        now += 10ms;
        limit.onAnswered(10ms, 10ms, true, ceiling, now);
    }
    CHECK(limit.whole() == ceiling);
}

TEST_CASE("Queueing at the target shrinks the limit at most once per baseline latency")
{
    InFlightLimit limit;
    Instant now {1s};
    limit.onAnswered(10ms, 10ms, false, ceiling, now);
    limit.onAnswered(30ms, 10ms, true, ceiling, now);
    const auto once = limit.whole();
    CHECK(once < ceiling);
    limit.onAnswered(30ms, 10ms, true, ceiling, now + 1ms);
    CHECK(limit.whole() == once);
}

TEST_CASE("The instance backs off after a shed, longer with each consecutive one")
{
    InFlightLimit limit;
    RandomEngine random(3);
    Instant now {1s};
    limit.onShed(20ms, slots, now, random);
    CHECK_FALSE(limit.allows(0, now));
    CHECK(limit.restsUntil() >= now + 5ms);
    CHECK(limit.restsUntil() <= now + 15ms);
    CHECK(limit.allows(0, limit.restsUntil()));
    for (int i = 0; i < 4; ++i) {
        now = limit.restsUntil();
        limit.onShed(20ms, slots, now, random);
    }
    CHECK(limit.restsUntil() > now + 50ms);
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
            RC_ASSERT(limit.whole() >= 1U);
            RC_ASSERT(limit.whole() <= ceiling);
            RC_ASSERT(!limit.allows(limit.whole(), now));
            RC_ASSERT(limit.allows(0, std::max(now, limit.restsUntil())));
        }
    });
    CHECK(holds);
}
