#include "tests/support/daemon_process.h"
#include "tests/support/temporary_folder.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace lagoondeck;
using namespace std::chrono_literals;

// Guards against a command that aborts, without its exit code, when it reports an error that names
// a file whose name is not UTF-8.
TEST_CASE("an error that names a file whose name is not UTF-8 is reported")
{
    const TemporaryFolder folder;
    DaemonProcess command(
            {LAGOONDECK_CTL, "--json", "check-config", (folder.path / "\xff").string()},
            (folder.path / "log").string());
    const auto until = std::chrono::steady_clock::now() + 30s;
    while (!command.poll() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    REQUIRE(command.poll());
    CHECK(command.poll()->exitCode == 2);
}
