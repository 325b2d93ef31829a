#pragma once

#include "core/os/process_signals.h"
#include "drivers/edge/gateway_node.h"
#include "standins/platform_store.h"
#include "standins/platform_target.h"
#include "tests/standins/served_loop.h"
#include "tests/support/free_addresses.h"

#include <Poco/Net/StreamSocket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lagoondeck::edgetest {

using namespace std::chrono_literals;

inline const std::string config =
        R"({"version":3,"routes":[{"name":"one","host":"h","prefix":"/one/","route_type":"safe",)"
        R"("timeout_ms":2000,"target_latency_ms":500,"service":"g0","attempts":2},)"
        R"({"name":"once","host":"h","prefix":"/once/","route_type":"unsafe","timeout_ms":2000,)"
        R"("target_latency_ms":500,"service":"g0","attempts":2},)"
        R"({"name":"all","host":"h","prefix":"/all/","route_type":"safe","timeout_ms":2000,)"
        R"("target_latency_ms":300,"gather":["g0","g1"],"attempts":2,"top_k":3,"min_coverage":0.5}],)"
        R"("services":[{"name":"g0","max_conns":64},{"name":"g1","max_conns":64}],)"
        R"("limits":{"max_header_bytes":1024,"max_body_bytes":2048,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

inline std::string configVersion(int version)
{
    std::string text = config;
    text.replace(text.find("\"version\":3"), 11, "\"version\":" + std::to_string(version));
    return text;
}

/// Runs a gateway in its own thread, with a stand-in store and stand-in targets.
class GatewayFixture
{
public:
    /// `limit` is what the targets state in their replies; empty if nothing. `recordCount` is how
    /// many records of 16 bytes a reply holds, at least two.
    explicit GatewayFixture(const std::string &limit = "", std::size_t recordCount = 2)
    {
        for (int group = 0; group < 2; ++group) {
            for (int replica = 0; replica < 2; ++replica) {
                const std::string id = "t" + std::to_string(group) + std::to_string(replica);
                std::vector<std::string> records(recordCount,
                                                 std::string(16, static_cast<char>('a' + group)));
                records.back() = std::string(16, static_cast<char>('k' + group));
                this->targets.push_back(
                        std::make_unique<PlatformTarget>(this->loop, id, std::move(records)));
                this->targets.back()->setLimit(limit);
                this->targets.back()->start();
            }
        }
        this->store.start();
        this->store.put("op/config", config);
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            this->store.put("servers/" + this->targets[i]->id(),
                            this->targets[i]->registrationEntry("g" + std::to_string(i / 2)));
        }
        this->served.emplace(this->loop);
        this->settings.id = InstanceId("n1");
        const std::vector<std::string> addresses = freeAddresses(4);
        this->settings.callerAddress = addresses[0];
        this->settings.readyAddress = addresses[1];
        this->settings.controlAddress = addresses[2];
        this->settings.peerAddress = addresses[3];
        this->settings.storeAddress = this->store.boundAddress();
        this->settings.retries = {0.2, 50.0, 10s};
        this->settings.stopGrace = 4s;
        this->settings.firstStart = true;
        this->settings.seed = 5;
        this->thread = std::thread([this] {
            GatewayNode node(this->settings);
            this->runSucceeded =
                    static_cast<bool>(node.run(this->signals, [this] { this->reload(); }));
        });
        for (int i = 0; i < 200 && this->readyStatus() != 200; ++i) {
            std::this_thread::sleep_for(10ms);
        }
    }

    ~GatewayFixture()
    {
        if (this->thread.joinable()) {
            this->stop();
        }
    }

    void stop()
    {
        sendSignal(SIGTERM);
        this->thread.join();
    }

    /// Sends a signal to the process, as the platform does.
    static void sendSignal(int number) { kill(getpid(), number); }

    int readyStatus()
    {
        try {
            TestClient client(this->settings.readyAddress);
            return client.call("GET", "/ready").status();
        } catch (const Poco::Exception &) {
            return 0;
        }
    }

    std::string status()
    {
        TestClient client(this->settings.controlAddress);
        return client.call("GET", "/status").body;
    }

    /// Returns true when the status contains the text within the given time.
    bool waitForStatus(const std::string &text, Duration limit)
    {
        const auto begin = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - begin < limit) {
            if (this->status().find(text) != std::string::npos) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    CallReply call(const std::string &path, const std::string &id, const std::string &body = "")
    {
        TestClient client(this->settings.callerAddress);
        return client.call(body.empty() ? "GET" : "POST", path, body,
                           {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", "2000"}});
    }

    /// Sends bytes unchanged and returns all bytes received until the connection ends.
    std::string sendRaw(const std::string &bytes)
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(this->settings.callerAddress));
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::string all;
        char buffer[1024];
        try {
            for (int count = 0; (count = socket.receiveBytes(buffer, sizeof buffer)) > 0;) {
                all.append(buffer, static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception &) {
            // The connection was reset or timed out.
        }
        return all;
    }

    /// Returns true if a target ran the request.
    bool hasRun(const std::string &requestId) const
    {
        return std::ranges::any_of(this->targets, [&](const auto &target) {
            return target->timeLimitOf(requestId).has_value();
        });
    }

    std::uint64_t runs() const
    {
        std::uint64_t sum = 0;
        for (const auto &target : this->targets) {
            sum += target->runs();
        }
        return sum;
    }

    EventLoop loop;
    PlatformStore store {loop, "127.0.0.1:0"};
    std::vector<std::unique_ptr<PlatformTarget>> targets;
    std::optional<ServedLoop> served;
    GatewaySettings settings;
    ProcessSignals signals;
    /// Called for each SIGHUP.
    std::function<void()> reload = [] {};
    std::thread thread;
    bool runSucceeded = false;
};

} // namespace lagoondeck::edgetest
