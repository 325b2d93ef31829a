#include "logic/replication/relay_tree.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <set>
#include <vector>

using namespace lagoondeck;

namespace {

/// How often each member receives an update, and how often it crosses the border of a domain.
struct Spread
{
    std::vector<int> received;
    std::size_t crossings = 0;
    std::size_t largestFanOut = 0;
};

Spread spread(const std::vector<std::size_t> &domains, std::size_t origin)
{
    Spread result {std::vector<int>(domains.size(), 0)};
    result.received[origin] = 1;
    std::deque<std::size_t> queue {origin};
    while (!queue.empty()) {
        const std::size_t sender = queue.front();
        queue.pop_front();
        const auto children = relayChildren(domains, origin, sender);
        if (sender != origin) {
            result.largestFanOut = std::max(result.largestFanOut, children.size());
        }
        for (const std::size_t child : children) {
            ++result.received[child];
            result.crossings += domains[child] == domains[sender] ? 0 : 1;
            queue.push_back(child);
        }
    }
    return result;
}

} // namespace

TEST_CASE("every member receives an update exactly once, whichever member is the origin")
{
    rc::prop("the children of all members make up the fleet", [] {
        const auto domains = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 6)));
        const auto origin = *rc::gen::inRange<std::size_t>(0, domains.size());
        const Spread result = spread(domains, origin);
        RC_ASSERT(result.received == std::vector<int>(domains.size(), 1));
        RC_ASSERT(result.largestFanOut <= relayFanOut);
    });
}

// Guards against traffic between failure domains that grows with the number of members.
TEST_CASE("an update crosses the border of each failure domain a few times")
{
    for (const std::size_t count : {30U, 85U, 300U, 5200U}) {
        std::vector<std::size_t> domains;
        for (std::size_t i = 0; i < count; ++i) {
            domains.push_back(i % 3);
        }
        const Spread result = spread(domains, count / 2);
        CHECK(result.received == std::vector<int>(count, 1));
        CHECK(result.crossings == 2 * relayEntriesPerDomain);
    }
}

// Guards against a whole domain that misses an update because one member is gone.
TEST_CASE("a member that is gone keeps an update from a third of its domain at most")
{
    constexpr std::size_t count = 90;
    std::vector<std::size_t> domains;
    for (std::size_t i = 0; i < count; ++i) {
        domains.push_back(i % 3);
    }
    for (const std::size_t entry : relayChildren(domains, 0, 0)) {
        if (domains[entry] == domains[0]) {
            continue;
        }
        std::set<std::size_t> cutOff;
        std::deque<std::size_t> queue {entry};
        while (!queue.empty()) {
            cutOff.insert(queue.front());
            for (const std::size_t child : relayChildren(domains, 0, queue.front())) {
                queue.push_back(child);
            }
            queue.pop_front();
        }
        CHECK(cutOff.size() <= count / 3 / relayEntriesPerDomain);
    }
}

TEST_CASE("in a small fleet all members receive updates directly from the origin")
{
    CHECK(relayChildren({0, 0, 0, 0, 0, 0, 0, 0}, 3, 3).size() == 7);
    CHECK(relayChildren({0, 0, 0, 0, 0, 0, 0, 0}, 3, 4).empty());
    CHECK(relayChildren({0, 0, 0, 1, 1, 1, 2, 2}, 3, 3).size() == 7);
}

TEST_CASE("a position beyond the number of members has no children")
{
    const std::vector<std::size_t> domains(8, 0);
    CHECK(relayChildren(domains, 8, 2).empty());
    CHECK(relayChildren(domains, 2, 8).empty());
}
