#include "core/os/program.h"
#include "tests/support/test_failure.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

// Guards against a program that aborts without a message or its exit code.
TEST_CASE("an exception that reaches main() ends the program with its exit code")
{
    CHECK(runProgram("program", 3, [] { return 0; }) == 0);
    CHECK(runProgram("program", 3, []() -> int { throw TestFailure("broken"); }) == 3);
    CHECK(runProgram("program", 3, []() -> int { throw 5; }) == 3);
}
