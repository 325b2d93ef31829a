#include "logic/gateway/relay_tree.h"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <vector>

using namespace lagoondeck;

TEST_CASE("every member receives an update exactly once, whichever member is the origin")
{
    rc::prop("the children of all members make up the fleet", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 600);
        const auto origin = *rc::gen::inRange<std::size_t>(0, count);
        std::vector<int> received(count, 0);
        received[origin] = 1;
        std::deque<std::size_t> queue {origin};
        while (!queue.empty()) {
            const auto children = relayChildren(origin, queue.front(), count);
            queue.pop_front();
            RC_ASSERT(children.size() <= relayFanOut);
            for (const std::size_t child : children) {
                ++received[child];
                queue.push_back(child);
            }
        }
        RC_ASSERT(received == std::vector<int>(count, 1));
    });
}

TEST_CASE("in a small fleet all members receive updates directly from the origin")
{
    CHECK(relayChildren(3, 3, 8).size() == 7);
    CHECK(relayChildren(3, 4, 8).empty());
}

TEST_CASE("a position beyond the number of members has no children")
{
    CHECK(relayChildren(8, 2, 8).empty());
    CHECK(relayChildren(2, 8, 8).empty());
}
