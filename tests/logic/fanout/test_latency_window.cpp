#include "logic/fanout/latency_window.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

TEST_CASE("There are no statistics before enough samples are recorded")
{
    LatencyWindow window;
    for (int i = 0; i < 49; ++i) {
        window.add(5ms, 4ms, Instant {});
        CHECK_FALSE(window.statistics());
    }
    window.add(5ms, 4ms, Instant {});
    REQUIRE(window.statistics());
    CHECK(window.statistics()->networkTime == 1ms);
}

TEST_CASE("Slow targets do not raise the late threshold while they are a tenth of all")
{
    LatencyWindow steady;
    LatencyWindow slowed;
    for (int i = 0; i < 1000; ++i) {
        steady.add(5ms, 4ms, Instant {});
        slowed.add(i % 10 == 0 ? 50ms : 5ms, 4ms, Instant {});
    }
    CHECK(slowed.statistics()->lateThreshold == steady.statistics()->lateThreshold);
    CHECK(slowed.statistics()->lateThreshold < 20ms);
}

TEST_CASE("Old samples are dropped from the statistics")
{
    LatencyWindow window;
    Instant now {};
    for (int i = 0; i < 1000; ++i) {
        window.add(50ms, 4ms, now += 1ms);
    }
    for (int i = 0; i < 10000; ++i) {
        window.add(5ms, 4ms, now += 1ms);
    }
    CHECK(window.statistics()->highQuantile < 6ms);
}

TEST_CASE("The quantiles are in ascending order")
{
    CHECK(rc::check([](const std::vector<std::uint16_t> &latencies) {
        LatencyWindow window;
        for (const std::uint16_t latency : latencies) {
            window.add(Duration(latency), Duration(latency / 2), Instant {});
        }
        if (const auto statistics = window.statistics()) {
            RC_ASSERT(statistics->lowQuantile <= statistics->median);
            RC_ASSERT(statistics->median <= statistics->highQuantile);
            RC_ASSERT(statistics->networkTime >= Duration::zero());
        }
    }));
}
