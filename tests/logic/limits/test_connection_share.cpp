#include "logic/limits/connection_share.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using lagoondeck::connectionShare;

TEST_CASE("Shares at typical sizes leave a reserve below the cap")
{
    CHECK(connectionShare(30, 3, 8) == 3);
    CHECK(connectionShare(25, 2, 8) == 2);
    CHECK(connectionShare(35, 2, 8) == 3);
    CHECK(connectionShare(100, 4, 8) == 8);
    CHECK(connectionShare(30, 3, 6) == 4);
}

TEST_CASE("The sum of all shares stays within the cap while membership views differ by a quarter")
{
    const bool holds = rc::check("sum of shares", [] {
        const auto cap = *rc::gen::inRange<std::uint32_t>(1, 200);
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 12);
        const auto smallerView = *rc::gen::inRange<std::uint32_t>(1, 40);
        const auto everyInstance =
                smallerView + *rc::gen::inRange<std::uint32_t>(0, smallerView / 4 + 1);
        std::uint32_t sum = 0;
        for (std::uint32_t instance = 0; instance < everyInstance; ++instance) {
            const auto seen = *rc::gen::inRange<std::uint32_t>(smallerView, everyInstance + 1);
            sum += connectionShare(cap, slots, seen);
        }
        // With fewer connections than instances, each instance still gets one.
        RC_ASSERT(sum <= std::max(cap, everyInstance));
    });
    CHECK(holds);
}

TEST_CASE("Knowing more instances never increases the share")
{
    const bool holds = rc::check("monotonic", [] {
        const auto cap = *rc::gen::inRange<std::uint32_t>(1, 200);
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 12);
        const auto instances = *rc::gen::inRange<std::uint32_t>(1, 100);
        RC_ASSERT(connectionShare(cap, slots, instances + 1)
                  <= connectionShare(cap, slots, instances));
        RC_ASSERT(connectionShare(cap, slots, instances) >= 1U);
    });
    CHECK(holds);
}
