#include "logic/gateway/limit_reports.h"
#include "logic/gateway/seen_numbers.h"

#include <catch2/catch.hpp>
#include <string>

using namespace lagoondeck;
using std::chrono::milliseconds;

namespace {

constexpr Instant start {std::chrono::seconds(100)};

} // namespace

TEST_CASE("limits that are stated shortly after one another are reported together")
{
    LimitReports reports;
    RandomEngine random(1);
    CHECK(reports.nextTimer() == Instant::max());
    reports.add(TargetId("a"), 5.0, start, random);
    reports.add(TargetId("b"), std::nullopt, start + milliseconds(3), random);
    CHECK(reports.takeDue(start + milliseconds(4)).empty());
    CHECK(reports.nextTimer() <= start + milliseconds(40));
    CHECK(reports.takeDue(start + milliseconds(40))
          == std::vector<StatedLimit> {{TargetId("a"), 5.0}, {TargetId("b"), std::nullopt}});
    CHECK(reports.nextTimer() == Instant::max());
}

TEST_CASE("a limit that another member has reported is not reported again")
{
    LimitReports reports;
    RandomEngine random(1);
    reports.add(TargetId("a"), 5.0, start, random);
    reports.cancel(TargetId("a"));
    CHECK(reports.takeDue(start + milliseconds(40)).empty());
}

TEST_CASE("the limits of many targets are spread over several reports")
{
    LimitReports reports;
    RandomEngine random(1);
    for (int i = 0; i < 300; ++i) {
        reports.add(TargetId(std::to_string(i)), 5.0, start, random);
    }
    Instant now = start + milliseconds(40);
    std::size_t total = 0;
    for (int i = 0; i < 3; ++i) {
        const std::size_t size = reports.takeDue(now).size();
        CHECK(size <= 128);
        total += size;
        now += milliseconds(40);
    }
    CHECK(total == 300);
}

TEST_CASE("a number is seen for the first time once")
{
    SeenNumbers numbers;
    CHECK(numbers.add(7));
    CHECK_FALSE(numbers.add(7));
    for (std::uint64_t number = 100; number < 400; ++number) {
        numbers.add(number);
    }
    CHECK(numbers.add(7));
}
