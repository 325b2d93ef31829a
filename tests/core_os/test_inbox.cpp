#include "core/os/inbox.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using namespace lagoondeck;

TEST_CASE("Events from several threads all arrive, and those of one thread arrive in order")
{
    constexpr std::uint64_t threadCount = 4;
    constexpr std::uint64_t eventCount = 500;
    Inbox inbox;
    std::vector<std::thread> threads;
    for (std::uint64_t thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&inbox, thread] {
            for (std::uint64_t i = 0; i < eventCount; ++i) {
                inbox.post(CallerGone {QueryId(thread * eventCount + i)});
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<std::uint64_t> last(threadCount, 0);
    std::size_t taken = 0;
    for (const EventBody &body : inbox.takeAll()) {
        const std::uint64_t query = std::get<CallerGone>(body).query.value;
        std::uint64_t &previous = last[query / eventCount];
        CHECK((query % eventCount == 0 || query == previous + 1));
        previous = query;
        ++taken;
    }
    CHECK(taken == threadCount * eventCount);
    CHECK(inbox.takeAll().empty());
}
