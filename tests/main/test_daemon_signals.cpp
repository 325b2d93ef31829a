#include "tests/support/daemon_process.h"
#include "tests/support/free_addresses.h"
#include "tests/support/temporary_folder.h"

#include <catch2/catch.hpp>

#include <sys/stat.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

/// Returns the settings of a gateway that reaches no store.
std::string settings()
{
    const std::vector<std::string> addresses = freeAddresses(5);
    std::string text = R"({"gateway":{"id":"n1","failureDomain":"a")";
    std::size_t next = 0;
    for (const std::string name :
         {"callerAddress", "readyAddress", "controlAddress", "peerAddress", "storeAddress"}) {
        text += ",\"" + name + "\":\"" + addresses[next++] + "\"";
    }
    return text + "}}";
}

/// A daemon that waits for its settings, which come through a pipe.
class StartingDaemon
{
public:
    StartingDaemon()
        : pipe(this->folder.path / "settings.json"),
          pipeIsMade(mkfifo(this->pipe.c_str(), S_IRUSR | S_IWUSR) == 0),
          process({LAGOONDECK_DAEMON, "--settings", this->pipe.string()},
                  (this->folder.path / "log").string())
    {
        REQUIRE(this->pipeIsMade);
        // The daemon may end before it has read its settings.
        std::signal(SIGPIPE, SIG_IGN);
        // Opening the pipe for writing waits until the daemon reads it.
        this->out.open(this->pipe);
        REQUIRE(this->out);
    }

    void sendSettings()
    {
        const std::string text = settings();
        // A reload reads the file again, which would wait for another writer of the pipe.
        const std::filesystem::path file = this->folder.path / "file";
        std::ofstream(file) << text;
        std::filesystem::rename(file, this->pipe);
        this->out << text;
        this->out.close();
    }

    std::optional<ProcessEnd> waitForEnd(std::chrono::milliseconds limit)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!this->process.poll() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(5ms);
        }
        return this->process.poll();
    }

    TemporaryFolder folder;
    std::filesystem::path pipe;
    bool pipeIsMade;
    DaemonProcess process;
    std::ofstream out;
};

} // namespace

// Guards against a request to reload the settings that ends a process which is just starting.
TEST_CASE("a reload signal that comes while the settings are read does not end the daemon")
{
    StartingDaemon daemon;
    daemon.process.signal(SIGHUP);
    std::this_thread::sleep_for(100ms);
    daemon.sendSettings();
    CHECK_FALSE(daemon.waitForEnd(500ms));
    daemon.process.signal(SIGTERM);
    const auto end = daemon.waitForEnd(10s);
    REQUIRE(end);
    CHECK(end->exitCode == 0);
}

// Guards against a process that goes through the whole stop although it has served nobody.
TEST_CASE("a stop signal that comes while the settings are read ends the daemon at once")
{
    StartingDaemon daemon;
    daemon.process.signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    daemon.sendSettings();
    const auto end = daemon.waitForEnd(1s);
    REQUIRE(end);
    CHECK(end->exitCode == 0);
}
