#pragma once

#include "process_threads.h"
#include "standins/platform_store.h"
#include "standins/platform_target.h"
#include "tests/standins/served_loop.h"
#include "tests/support/daemon_process.h"
#include "tests/support/free_addresses.h"
#include "tests/support/temporary_folder.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lagoondeck {

using namespace std::chrono_literals;

/// A daemon that serves, as a process of its own, with a stand-in store and a stand-in target that
/// takes a while to answer.
class ServingDaemon
{
public:
    explicit ServingDaemon(std::chrono::milliseconds targetDelay)
    {
        this->target.setDelay(targetDelay);
        this->target.start();
        this->store.start();
        this->store.put("op/config", config().dump());
        this->store.put("servers/" + this->target.id(), this->target.registrationEntry("g0"));
        this->served.emplace(this->loop);
        nlohmann::json settings {{"id", "n1"}, {"failureDomain", "a"}, {"firstStart", true}};
        settings["callerAddress"] = this->addresses[0];
        settings["readyAddress"] = this->addresses[1];
        settings["controlAddress"] = this->addresses[2];
        settings["peerAddress"] = this->addresses[3];
        settings["storeAddress"] = this->store.boundAddress();
        const std::filesystem::path file = this->folder.path / "settings.json";
        std::ofstream(file) << nlohmann::json {{"gateway", settings}}.dump();
        this->process.emplace(
                std::vector<std::string> {LAGOONDECK_DAEMON, "--settings", file.string()},
                this->logFile().string());
        REQUIRE(this->waitUntilReady());
    }

    /// Returns the status of the answer, or 0 if the connection ended without one.
    int call(const std::string &id)
    {
        try {
            TestClient client(this->addresses[0]);
            return client
                    .call("GET", "/one/x", "",
                          {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", "20000"}})
                    .status();
        } catch (const Poco::Exception &) {
            return 0;
        }
    }

    /// Starts a call and returns when the target runs it.
    std::thread startCall(const std::string &id, int &status)
    {
        std::thread caller([this, id, &status] { status = this->call(id); });
        const auto until = std::chrono::steady_clock::now() + 10s;
        while (!this->target.timeLimitOf(id) && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(1ms);
        }
        return caller;
    }

    ProcessThreads threads() const { return ProcessThreads(this->process->id()); }

    std::string log() const
    {
        std::ifstream file(this->logFile());
        return {std::istreambuf_iterator<char>(file), {}};
    }

    std::filesystem::path logFile() const { return this->folder.path / "log"; }

    EventLoop loop;
    PlatformStore store {loop, "127.0.0.1:0"};
    PlatformTarget target {loop, "t0", {std::string(16, 'a')}};
    std::optional<ServedLoop> served;
    std::vector<std::string> addresses = freeAddresses(4);
    TemporaryFolder folder;
    std::optional<DaemonProcess> process;

private:
    static nlohmann::json config()
    {
        nlohmann::json route {{"name", "one"}, {"host", "h"}, {"prefix", "/one/"}};
        route["route_type"] = "safe";
        route["timeout_ms"] = 20'000;
        route["target_latency_ms"] = 10'000;
        route["service"] = "g0";
        route["attempts"] = 1;
        return {{"version", 3},
                {"routes", {route}},
                {"services", {{{"name", "g0"}, {"max_conns", 64}}}},
                {"limits",
                 {{"max_header_bytes", 8192},
                  {"max_body_bytes", 8192},
                  {"header_timeout_ms", 10'000},
                  {"idle_timeout_ms", 30'000}}}};
    }

    bool waitUntilReady()
    {
        const auto until = std::chrono::steady_clock::now() + 30s;
        while (std::chrono::steady_clock::now() < until && !this->process->poll()) {
            try {
                TestClient client(this->addresses[1]);
                if (client.call("GET", "/ready").status() == 200) {
                    return true;
                }
            } catch (const Poco::Exception &) {
                // It does not listen yet.
            }
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }
};

} // namespace lagoondeck
