#include "drivers/step_guard.h"
#include "tests/support/test_failure.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace lagoondeck;

// Guards against an exception that ends the process because nothing on its thread catches it.
TEST_CASE("an exception ends a step, but neither its thread nor the process")
{
    StepGuard guard("worker");
    bool continued = false;
    std::thread thread([&] {
        CHECK_FALSE(guard.run([] { throw TestFailure("broken"); }));
        CHECK_FALSE(guard.run([] { throw 5; }));
        continued = guard.run([] {});
    });
    thread.join();
    CHECK(continued);
    CHECK(guard.failures() == 2);
}

// Guards against a failure that nobody notices, and against one that floods the log.
TEST_CASE("failed steps are logged with their thread and error, at most once a second")
{
    std::vector<WriteLog> lines;
    StepGuard guard("worker", [&](const WriteLog &line) { lines.push_back(line); });
    for (int i = 0; i < 100; ++i) {
        guard.run([] { throw TestFailure("broken"); });
    }
    CHECK(guard.failures() == 100);
    REQUIRE_FALSE(lines.empty());
    CHECK(lines.size() < 100);
    CHECK(lines.front().event == LogEvent::StepFailed);
    CHECK(lines.front().fields[0].value == "worker");
    CHECK(lines.front().fields[1].value == "broken");
    CHECK(lines.front().fields[2].value == "1");
}

// Guards against a log sink whose failure ends the process instead of the step's.
TEST_CASE("a log sink that throws does not end the process")
{
    StepGuard guard("worker", [](const WriteLog &) { throw TestFailure("disk full"); });
    CHECK_FALSE(guard.run([] { throw TestFailure("broken"); }));
    CHECK(guard.failures() == 1);
}
