#include "logic/gateway/relay_tree.h"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <vector>

using namespace lagoondeck;

TEST_CASE("every member hears news once, whoever asked the store")
{
    rc::prop("the children of all members make up the fleet", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 600);
        const auto origin = *rc::gen::inRange<std::size_t>(0, count);
        std::vector<int> heard(count, 0);
        heard[origin] = 1;
        std::deque<std::size_t> queue {origin};
        while (!queue.empty()) {
            const auto children = relayChildren(origin, queue.front(), count);
            queue.pop_front();
            RC_ASSERT(children.size() <= relayFanOut);
            for (const std::size_t child : children) {
                ++heard[child];
                queue.push_back(child);
            }
        }
        RC_ASSERT(heard == std::vector<int>(count, 1));
    });
}

TEST_CASE("a small fleet hears all news directly")
{
    CHECK(relayChildren(3, 3, 8).size() == 7);
    CHECK(relayChildren(3, 4, 8).empty());
}

TEST_CASE("a place that the view does not know passes nothing on")
{
    CHECK(relayChildren(8, 2, 8).empty());
    CHECK(relayChildren(2, 8, 8).empty());
}
