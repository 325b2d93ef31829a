#include "logic/workload/group_queue.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lagoondeck;
using std::chrono::milliseconds;

namespace {

const Instant start {std::chrono::seconds(100)};

WaitingPart part(std::uint64_t id)
{
    return {ExchangeId(id), 0};
}

/// Lets parts of one account wait and attempts complete, one in 10 ms. Returns the time.
Instant measure(GroupQueue &queue, int completions)
{
    Instant now = start;
    queue.add(part(100000), {0, "busy", "x"}, Instant::max(), now);
    for (int i = 0; i < completions; ++i) {
        now += milliseconds(10);
        queue.onCompleted(1, now);
    }
    return now;
}

} // namespace

// Guards against refusals that are based on a guess.
TEST_CASE("without enough completions no part is late")
{
    GroupQueue queue;
    const Instant now = measure(queue, 16);
    for (std::uint64_t id = 1; id <= 300; ++id) {
        queue.add(part(id), {0, "a", "x"}, now + milliseconds(1), now);
    }
    CHECK_FALSE(queue.takeLate(now).has_value());
    CHECK_FALSE(queue.outlook({0, "a", "x"}, now + milliseconds(1), now).has_value());
}

// Guards against completions of a calm time that are taken for the capacity.
TEST_CASE("completions count only while parts wait")
{
    GroupQueue queue;
    Instant now = start;
    for (int i = 0; i < 40; ++i) {
        now += milliseconds(30);
        queue.onCompleted(1, now);
    }
    for (std::uint64_t id = 1; id <= 300; ++id) {
        queue.add(part(id), {0, "a", "x"}, now + milliseconds(1), now);
    }
    CHECK_FALSE(queue.takeLate(now).has_value());
}

// Guards against requests that wait in vain, and against refusals of those that don't.
TEST_CASE("only the last parts that can't be sent in time are late")
{
    GroupQueue queue;
    const Instant now = measure(queue, 40);
    for (std::uint64_t id = 1; id <= 300; ++id) {
        queue.add(part(id), {0, "a", "x"}, now + milliseconds(100), now);
    }
    std::uint64_t expected = 300;
    while (const auto late = queue.takeLate(now)) {
        CHECK(late->part == part(expected));
        CHECK(late->cause == LateCause::Outlook);
        CHECK(late->completionsPerSecond == Approx(100.0));
        --expected;
    }
    // 10 complete in that time, and twice as many still may be sent.
    CHECK(queue.queue().size() > 20);
    CHECK(queue.queue().size() < 50);
}

// Guards against refusing those that come later by accident and not those that are last by turns.
TEST_CASE("the part of an account that sends little is not late because of another account")
{
    GroupQueue queue;
    const Instant now = measure(queue, 40);
    for (std::uint64_t id = 1; id <= 60; ++id) {
        queue.add(part(id), {0, "heavy", "x"}, now + milliseconds(100), now);
    }
    CHECK_FALSE(queue.outlook({0, "light", "y"}, now + milliseconds(100), now).has_value());
    CHECK(queue.outlook({0, "heavy", "x"}, now + milliseconds(100), now).has_value());
    queue.add(part(1000), {0, "light", "y"}, now + milliseconds(100), now);
    const auto late = queue.takeLate(now);
    REQUIRE(late.has_value());
    CHECK(late->part == part(60));
}

// Guards against a measured rate that outlives the capacity.
TEST_CASE("a new target makes the measured rate void")
{
    GroupQueue queue;
    const Instant now = measure(queue, 40);
    for (std::uint64_t id = 1; id <= 300; ++id) {
        queue.add(part(id), {0, "a", "x"}, now + milliseconds(100), now);
    }
    queue.onCompleted(2, now);
    CHECK_FALSE(queue.takeLate(now).has_value());
}

// Guards against memory that grows with the number of requests.
TEST_CASE("the number of waiting parts is limited")
{
    GroupQueue queue;
    std::size_t late = 0;
    for (std::uint64_t id = 1; id <= 6000; ++id) {
        queue.add(part(id), {0, "a" + std::to_string(id % 7), "x"}, Instant::max(), start);
        while (const auto taken = queue.takeLate(start)) {
            CHECK(taken->cause == LateCause::Full);
            ++late;
        }
    }
    CHECK(queue.queue().size() == 4096);
    CHECK(late == 6000 - 4096);
}

// Guards against callers that all return at the same time, or before the queue has drained.
TEST_CASE("refused callers return after the queue has drained, at different times")
{
    GroupQueue queue;
    RandomEngine random(7);
    CHECK(queue.retryDelay(start, random) == Duration(0));
    const Instant now = measure(queue, 40);
    for (std::uint64_t id = 1; id <= 29; ++id) {
        queue.add(part(id), {0, "a", "x"}, now + milliseconds(100), now);
    }
    Duration shortest = std::chrono::hours(1);
    Duration longest {};
    for (int i = 0; i < 200; ++i) {
        const Duration delay = queue.retryDelay(now, random);
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    CHECK(shortest >= milliseconds(300));
    CHECK(longest <= milliseconds(600));
    CHECK(longest - shortest > milliseconds(200));
}
