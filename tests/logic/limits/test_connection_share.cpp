#include "logic/limits/connection_share.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using lagoondeck::connectionShare;

TEST_CASE("Shares at the sizes of today leave a reserve")
{
    CHECK(connectionShare(30, 3, 8) == 3);
    CHECK(connectionShare(25, 2, 8) == 2);
    CHECK(connectionShare(35, 2, 8) == 3);
    CHECK(connectionShare(100, 4, 8) == 8);
    CHECK(connectionShare(30, 3, 6) == 4);
}

TEST_CASE("The sum over views that differ by a quarter keeps to the cap")
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
        // With fewer connections than instances one each is the least that works.
        RC_ASSERT(sum <= std::max(cap, everyInstance));
    });
    CHECK(holds);
}

TEST_CASE("A larger view never gets a larger share")
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
