#include "tests/drivers_edge/raw_caller.h"
#include "tests/support/daemon_process.h"
#include "tests/support/free_addresses.h"
#include "tests/support/temporary_folder.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace lagoondeck;
using namespace std::chrono_literals;

// Guards against 413 and 431, after which no client tries again, from an instance that does not
// know yet what the configuration allows.
TEST_CASE("a long request is answered 503 while no configuration is known")
{
    const std::vector<std::string> addresses = freeAddresses(5);
    nlohmann::json settings {{"id", "n1"}, {"failureDomain", "a"}};
    settings["callerAddress"] = addresses[0];
    settings["readyAddress"] = addresses[1];
    settings["controlAddress"] = addresses[2];
    settings["peerAddress"] = addresses[3];
    // Nobody listens there.
    settings["storeAddress"] = addresses[4];
    const TemporaryFolder folder;
    const std::filesystem::path file = folder.path / "settings.json";
    std::ofstream(file) << nlohmann::json {{"gateway", settings}}.dump();
    DaemonProcess process({LAGOONDECK_DAEMON, "--settings", file.string()},
                          (folder.path / "log").string());
    const auto until = std::chrono::steady_clock::now() + 30s;
    while (!edgetest::RawCaller(addresses[0]).isConnected()
           && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(10ms);
    }
    const auto statusOf = [&](const std::string &request) {
        edgetest::RawCaller caller(addresses[0]);
        edgetest::CallerView view;
        caller.send(request);
        caller.receive(view);
        return view.status;
    };
    CHECK(statusOf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n") == 503);
    CHECK(statusOf("GET /x HTTP/1.1\r\nHost: h\r\nA: " + std::string(20000, 'x') + "\r\n\r\n")
          == 503);
}
