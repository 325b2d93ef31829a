#pragma once

#include "standins/platform_store.h"
#include "standins/platform_target.h"
#include "tests/standins/served_loop.h"
#include "tests/support/daemon_process.h"
#include "tests/support/endless_target.h"
#include "tests/support/free_addresses.h"
#include "tests/support/temporary_folder.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lagoondeck::untrustedtest {

using namespace std::chrono_literals;

/// The memory of the machine that the daemon is told. An idle process uses about 14 MB; each crowd
/// sends or asks for several times as much as this.
constexpr long memoryMegabytes = 96;
/// Descriptors that the machine reserves for files.
constexpr std::size_t reservedDescriptors = 200;
/// More connections than any crowd makes, for the cases that are not about descriptors.
constexpr std::size_t manyDescriptors = 2000;
constexpr std::size_t longAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t maxHeaderBytes = 64 * 1024;
constexpr std::size_t maxBodyBytes = 1024 * 1024;

/// The daemon as a process of its own, with a stand-in of the store and with stand-in targets: one
/// that answers at once (/one/), one that never answers (/waits/), one with long answers (/long/)
/// and one whose replies don't end (/endless/).
class DaemonFixture
{
public:
    explicit DaemonFixture(std::size_t maxDescriptors = manyDescriptors,
                           const std::string &endlessHead = "",
                           const std::string &endlessBody = "x")
        : maxDescriptors(maxDescriptors), endless(endlessHead, endlessBody)
    {
        this->addTarget("g0", 1024);
        this->addTarget("g1", 16)->setDelay(1h);
        this->addTarget("g2", longAnswerBytes);
        this->store.start();
        this->store.put("op/config", config().dump());
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            this->store.put("servers/" + this->targets[i]->id(),
                            this->targets[i]->registrationEntry("g" + std::to_string(i)));
        }
        nlohmann::json entry = nlohmann::json::parse(this->targets[0]->registrationEntry("g3"));
        entry["address"] = this->endless.address();
        this->store.put("servers/endless", entry.dump());
        this->served.emplace(this->loop);
        this->startDaemon();
    }

    const std::string &callerAddress() const { return this->addresses[0]; }

    /// Checks what must hold whatever callers and targets do, while they go on.
    void checkBounds()
    {
        CHECK_FALSE(this->daemon->poll());
        // The process must fit into the memory of its machine.
        CHECK(this->memoryHighWaterMegabytes() <= memoryMegabytes);
        // All descriptors but those for files.
        CHECK(this->openDescriptors() <= this->maxDescriptors - reservedDescriptors);
        CHECK(this->isOrdinaryRequestAnswered());
        CHECK_FALSE(this->daemon->poll());
        CHECK(this->memoryHighWaterMegabytes() <= memoryMegabytes);
    }

    EventLoop loop;

private:
    static nlohmann::json config()
    {
        const auto route = [](const std::string &name, const std::string &service) {
            return nlohmann::json {
                    {"name", name},         {"host", "h"},           {"prefix", "/" + name + "/"},
                    {"route_type", "safe"}, {"timeout_ms", 120'000}, {"target_latency_ms", 60'000},
                    {"service", service},   {"attempts", 1}};
        };
        const auto service = [](const std::string &name) {
            return nlohmann::json {{"name", name}, {"max_conns", 512}};
        };
        nlohmann::json gathered = route("all", "");
        gathered.erase("service");
        gathered["gather"] = {"g0", "g3"};
        gathered["min_coverage"] = 0.5;
        gathered["top_k"] = 100;
        gathered["target_latency_ms"] = 2000;
        // Timeouts that don't end a connection while a test runs.
        return {{"version", 3},
                {"routes",
                 {route("one", "g0"), route("waits", "g1"), route("long", "g2"),
                  route("endless", "g3"), gathered}},
                {"services", {service("g0"), service("g1"), service("g2"), service("g3")}},
                {"limits",
                 {{"max_header_bytes", maxHeaderBytes},
                  {"max_body_bytes", maxBodyBytes},
                  {"header_timeout_ms", 300'000},
                  {"idle_timeout_ms", 300'000}}}};
    }

    PlatformTarget *addTarget(const std::string &group, std::size_t answerBytes)
    {
        constexpr std::size_t recordBytes = 16;
        this->targets.push_back(std::make_unique<PlatformTarget>(
                this->loop, "t" + group,
                std::vector<std::string>(answerBytes / recordBytes,
                                         std::string(recordBytes, 'a'))));
        this->targets.back()->start();
        return this->targets.back().get();
    }

    void startDaemon()
    {
        nlohmann::json settings {{"id", "n1"}, {"failureDomain", "fd-1"}, {"firstStart", true}};
        settings["callerAddress"] = this->addresses[0];
        settings["readyAddress"] = this->addresses[1];
        settings["controlAddress"] = this->addresses[2];
        settings["peerAddress"] = this->addresses[3];
        settings["storeAddress"] = this->store.boundAddress();
        settings["memoryMegabytes"] = memoryMegabytes;
        settings["maxDescriptors"] = this->maxDescriptors;
        const std::filesystem::path file = this->folder.path / "settings.json";
        std::ofstream(file) << nlohmann::json {{"gateway", settings}}.dump();
        this->daemon.emplace(
                std::vector<std::string> {LAGOONDECK_DAEMON, "--settings", file.string()},
                (this->folder.path / "log").string());
        const rlimit limit {this->maxDescriptors, this->maxDescriptors};
        REQUIRE(prlimit(this->daemon->id(), RLIMIT_NOFILE, &limit, nullptr) == 0);
        REQUIRE(this->isOrdinaryRequestAnswered());
    }

    /// Calls again and again, because a connection may be refused or closed while the crowd takes
    /// more than its share. The limit only ends a test that has failed.
    bool isOrdinaryRequestAnswered()
    {
        const auto until = std::chrono::steady_clock::now() + 30s;
        while (std::chrono::steady_clock::now() < until && !this->daemon->poll()) {
            try {
                TestClient client(this->callerAddress());
                const CallReply reply =
                        client.call("GET", "/one/x", "",
                                    {{"Host", "h"},
                                     {"Request-Id", "o" + std::to_string(++this->lastRequest)},
                                     {"Deadline-Ms", "5000"}});
                if (reply.status() == 200) {
                    return true;
                }
            } catch (const Poco::Exception &) {
                // Not ready yet, or the connection was closed.
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    long memoryHighWaterMegabytes() const
    {
        std::ifstream status("/proc/" + std::to_string(this->daemon->id()) + "/status");
        const std::string name = "VmHWM:";
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name)) {
                return std::strtol(line.c_str() + name.size(), nullptr, 10) / 1024;
            }
        }
        return 0;
    }

    std::size_t openDescriptors() const
    {
        const std::filesystem::directory_iterator entries(
                "/proc/" + std::to_string(this->daemon->id()) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    std::size_t maxDescriptors;
    PlatformStore store {loop, "127.0.0.1:0"};
    std::vector<std::unique_ptr<PlatformTarget>> targets;
    EndlessTarget endless;
    std::optional<ServedLoop> served;
    std::vector<std::string> addresses = freeAddresses(4);
    TemporaryFolder folder;
    std::optional<DaemonProcess> daemon;
    int lastRequest = 0;
};

} // namespace lagoondeck::untrustedtest
