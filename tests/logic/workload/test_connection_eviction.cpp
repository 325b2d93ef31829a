#include "logic/workload/connection_eviction.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

using Phase = ConnectionLoad::Phase;
using Ids = std::vector<std::uint64_t>;

constexpr std::size_t kilobyte = 1024;

} // namespace

TEST_CASE("the connection that holds most is closed first, and no more than needed")
{
    const std::vector<ConnectionLoad> loads {
            {1, "a", 10 * kilobyte, Phase::Receiving, 0s},
            {2, "b", 900 * kilobyte, Phase::Receiving, 0s},
            {3, "c", 500 * kilobyte, Phase::Answering, 0s},
    };
    CHECK(ConnectionEviction::chooseHolders(loads, 1) == Ids {2});
    CHECK(ConnectionEviction::chooseHolders(loads, 900 * kilobyte) == Ids {2});
    CHECK(ConnectionEviction::chooseHolders(loads, 901 * kilobyte) == Ids {2, 3});
    CHECK(ConnectionEviction::chooseHolders(loads, 100'000 * kilobyte) == Ids {2, 3, 1});
    CHECK(ConnectionEviction::chooseHolders(loads, 0).empty());
}

// Guards against callers that keep an answer in memory for long while quick ones are closed.
TEST_CASE("of two answers, the one that is read more slowly is closed first")
{
    const std::vector<ConnectionLoad> loads {
            {1, "a", 600 * kilobyte, Phase::Answering, 0s},
            {2, "b", 400 * kilobyte, Phase::Answering, 5s},
    };
    CHECK(ConnectionEviction::chooseHolders(loads, 1) == Ids {2});
}

// Guards against closing a caller because its target is slow.
TEST_CASE("a caller that waits for its answer is not taken for a slow one")
{
    const std::vector<ConnectionLoad> loads {
            {1, "a", 100 * kilobyte, Phase::Waiting, 60s},
            {2, "b", 200 * kilobyte, Phase::Receiving, 0s},
    };
    CHECK(ConnectionEviction::chooseHolders(loads, 1) == Ids {2});
}

// Load: many callers outside of the limits send the beginning of a body each, while a few ordinary
// ones wait for the answers to larger requests. Guards against closing the latter, which a target
// already runs.
TEST_CASE("requests that wait for their answers are closed after unfinished ones")
{
    std::vector<ConnectionLoad> loads;
    for (std::uint64_t id = 1; id <= 16; ++id) {
        loads.push_back({id, "ordinary" + std::to_string(id), 400 * kilobyte, Phase::Waiting, 1s});
    }
    for (std::uint64_t id = 17; id <= 2016; ++id) {
        loads.push_back({id, "crowd" + std::to_string(id), 40 * kilobyte, Phase::Receiving, 0s});
    }
    const Ids chosen = ConnectionEviction::chooseHolders(loads, 40'000 * kilobyte);
    CHECK(chosen.size() == 1000);
    CHECK(std::ranges::none_of(chosen, [](std::uint64_t id) { return id <= 16; }));
}

// Load: a crowd sends complete requests that wait for long. Guards against callers that fill the
// memory with such requests, so that every new request is given up in their place.
TEST_CASE("requests that wait for their answers are not spared beyond half of the memory")
{
    std::vector<ConnectionLoad> loads {{1, "ordinary", 4 * kilobyte, Phase::Receiving, 0s}};
    for (std::uint64_t id = 2; id <= 101; ++id) {
        loads.push_back({id, "crowd" + std::to_string(id), 500 * kilobyte, Phase::Waiting, 9s});
    }
    const Ids chosen = ConnectionEviction::chooseHolders(loads, 1000 * kilobyte);
    CHECK(chosen.size() == 2);
    CHECK(std::ranges::count(chosen, 1) == 0);
}

// Guards against a caller that spreads what it holds over many connections.
TEST_CASE("many small connections of one caller are closed before a larger one of another caller")
{
    std::vector<ConnectionLoad> loads {{1, "a", 256 * kilobyte, Phase::Answering, 0s}};
    for (std::uint64_t id = 2; id < 1002; ++id) {
        loads.push_back({id, "b", 10 * kilobyte, Phase::Receiving, 0s});
    }
    const Ids chosen = ConnectionEviction::chooseHolders(loads, 1000 * kilobyte);
    CHECK(chosen.size() == 100);
    CHECK(chosen.front() != 1);
    CHECK(std::ranges::count(chosen, 1) == 0);
}

TEST_CASE("a connection that holds nothing is not closed for memory")
{
    CHECK(ConnectionEviction::chooseHolders({{1, "a", 0, Phase::Idle, 60s}}, 1).empty());
}

TEST_CASE("idle connections make room first, the one that has been idle for longest before others")
{
    const std::vector<ConnectionLoad> loads {
            {1, "a", 0, Phase::Idle, 2s},
            {2, "a", 0, Phase::Idle, 9s},
            {3, "a", 300, Phase::Receiving, 60s},
            {4, "a", 0, Phase::Idle, 0s},
    };
    CHECK(ConnectionEviction::chooseReplaceable(loads, 1) == Ids {2});
    CHECK(ConnectionEviction::chooseReplaceable(loads, 4) == Ids {2, 1, 4, 3});
}

// Guards against callers that keep all descriptors by sending a byte now and then.
TEST_CASE("incomplete requests make room when nothing is idle, the slowest sender first")
{
    const std::vector<ConnectionLoad> loads {
            {1, "a", 300, Phase::Receiving, 100ms},
            {2, "a", 300, Phase::Receiving, 3s},
            {3, "a", 300, Phase::Answering, 20s},
    };
    CHECK(ConnectionEviction::chooseReplaceable(loads, 9) == Ids {2, 1, 3});
}

TEST_CASE("a request that waits and an answer that is being read are not replaced")
{
    const std::vector<ConnectionLoad> loads {
            {1, "a", 300, Phase::Waiting, 60s},
            {2, "a", 300, Phase::Answering, 100ms},
    };
    CHECK(ConnectionEviction::chooseReplaceable(loads, 2).empty());
}

// Guards against one caller that pushes out the idle connections of all others.
TEST_CASE("a caller with many connections gives up its own first")
{
    std::vector<ConnectionLoad> loads {{1, "a", 0, Phase::Idle, 10s}};
    for (std::uint64_t id = 2; id < 202; ++id) {
        loads.push_back({id, "b", 0, Phase::Idle, 1s});
    }
    CHECK(std::ranges::count(ConnectionEviction::chooseReplaceable(loads, 100), 1) == 0);
}
