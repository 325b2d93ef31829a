#include "logic/fanout/latency_window.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

TEST_CASE("Nothing is told before enough is known")
{
    LatencyWindow window;
    for (int i = 0; i < 49; ++i) {
        window.add(5ms, 4ms, Instant {});
        CHECK_FALSE(window.figures());
    }
    window.add(5ms, 4ms, Instant {});
    REQUIRE(window.figures());
    CHECK(window.figures()->hop == 1ms);
}

TEST_CASE("A tenth of slow targets does not make late later")
{
    LatencyWindow steady;
    LatencyWindow slowed;
    for (int i = 0; i < 1000; ++i) {
        steady.add(5ms, 4ms, Instant {});
        slowed.add(i % 10 == 0 ? 50ms : 5ms, 4ms, Instant {});
    }
    CHECK(slowed.figures()->late == steady.figures()->late);
    CHECK(slowed.figures()->late < 20ms);
}

TEST_CASE("What is long past is forgotten")
{
    LatencyWindow window;
    Instant now {};
    for (int i = 0; i < 1000; ++i) {
        window.add(50ms, 4ms, now += 1ms);
    }
    for (int i = 0; i < 10000; ++i) {
        window.add(5ms, 4ms, now += 1ms);
    }
    CHECK(window.figures()->usual < 6ms);
}

TEST_CASE("The figures keep their order")
{
    CHECK(rc::check([](const std::vector<std::uint16_t> &latencies) {
        LatencyWindow window;
        for (const std::uint16_t latency : latencies) {
            window.add(Duration(latency), Duration(latency / 2), Instant {});
        }
        if (const auto figures = window.figures()) {
            RC_ASSERT(figures->shortest <= figures->typical);
            RC_ASSERT(figures->typical <= figures->usual);
            RC_ASSERT(figures->hop >= Duration::zero());
        }
    }));
}
