#include "process_threads.h"
#include "tests/support/daemon_process.h"
#include "tests/support/temporary_folder.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>

using namespace lagoondeck;
using namespace std::chrono_literals;

// Guards against a stand-in that a signal ends as if it had failed, in the middle of a measurement
// or while it exits.
TEST_CASE("a stand-in ignores reload signals and ends normally after a series of stop signals")
{
    const TemporaryFolder folder;
    const std::string log = (folder.path / "log").string();
    DaemonProcess standin({LAGOONDECK_STANDIN, "store"}, log);
    const auto isServing = [&] {
        std::ifstream file(log);
        std::string word;
        return file >> word && word == "serving";
    };
    const auto until = std::chrono::steady_clock::now() + 30s;
    while (!isServing() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    REQUIRE(isServing());
    const ProcessThreads threads(standin.id());
    for (const int signal : {SIGHUP, SIGINT, SIGTERM}) {
        CHECK(threads.blocksSignal(standin.id(), signal));
    }
    standin.signal(SIGHUP);
    std::this_thread::sleep_for(50ms);
    CHECK_FALSE(standin.poll());
    while (!standin.poll() && std::chrono::steady_clock::now() < until) {
        standin.signal(SIGTERM);
        std::this_thread::sleep_for(100us);
    }
    REQUIRE(standin.poll());
    CHECK(standin.poll()->exitCode == 0);
}
