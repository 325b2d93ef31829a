#include "core/os/process_signals.h"
#include "drivers/edge/gateway_node.h"
#include "standins/platform_store.h"
#include "standins/platform_target.h"
#include "tests/standins/served_loop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

std::string freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

const std::string config =
        R"({"version":3,"routes":[{"name":"one","host":"h","prefix":"/one/","route_type":"safe",)"
        R"("timeout_ms":2000,"target_latency_ms":500,"service":"g0","attempts":2},)"
        R"({"name":"once","host":"h","prefix":"/once/","route_type":"unsafe","timeout_ms":2000,)"
        R"("target_latency_ms":500,"service":"g0","attempts":2},)"
        R"({"name":"all","host":"h","prefix":"/all/","route_type":"safe","timeout_ms":2000,)"
        R"("target_latency_ms":300,"gather":["g0","g1"],"attempts":2,"top_k":3,"min_coverage":0.5}],)"
        R"("services":[{"name":"g0","max_conns":64},{"name":"g1","max_conns":64}],)"
        R"("limits":{"max_header_bytes":1024,"max_body_bytes":2048,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string configVersion(int version)
{
    std::string text = config;
    text.replace(text.find("\"version\":3"), 11, "\"version\":" + std::to_string(version));
    return text;
}

/// Runs a gateway in its own thread, with a stand-in store and stand-in targets.
class GatewayFixture
{
public:
    /// `limit` is what the targets state in their replies; empty if nothing.
    explicit GatewayFixture(const std::string &limit = "")
    {
        for (int group = 0; group < 2; ++group) {
            for (int replica = 0; replica < 2; ++replica) {
                const std::string id = "t" + std::to_string(group) + std::to_string(replica);
                this->targets.push_back(std::make_unique<PlatformTarget>(
                        this->loop, id,
                        std::vector {std::string(16, static_cast<char>('a' + group)),
                                     std::string(16, static_cast<char>('k' + group))}));
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
        this->settings.callerAddress = freeAddress();
        this->settings.readyAddress = freeAddress();
        this->settings.controlAddress = freeAddress();
        this->settings.peerAddress = freeAddress();
        this->settings.storeAddress = this->store.boundAddress();
        this->settings.retries = {0.2, 50.0, 10s};
        this->settings.stopGrace = 4s;
        this->settings.firstStart = true;
        this->settings.seed = 5;
        this->thread = std::thread([this] {
            GatewayNode node(this->settings);
            this->runSucceeded = static_cast<bool>(node.run(this->signals, [] {}));
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
        std::raise(SIGTERM);
        this->thread.join();
    }

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
    std::thread thread;
    bool runSucceeded = false;
};

} // namespace

TEST_CASE("a gateway serves forwarded and gathered requests with the configuration from the store")
{
    GatewayFixture fixture;
    REQUIRE(fixture.readyStatus() == 200);

    const CallReply one = fixture.call("/one/x", "r1");
    CHECK(one.status() == 200);
    CHECK(one.header("Server-Stamp").ends_with("/r1"));
    CHECK(one.body.size() == 32);

    const CallReply all = fixture.call("/all/x", "r2");
    CHECK(all.status() == 200);
    CHECK(all.header("Missing-Parts") == "0");
    CHECK(all.body == std::string(16, 'l') + std::string(16, 'k') + std::string(16, 'b'));

    CHECK(fixture.call("/none/x", "r3").status() == 404);

    TestClient status(fixture.settings.controlAddress);
    CHECK(status.call("GET", "/status").body.find("\"configVersion\":3") != std::string::npos);

    fixture.stop();
    CHECK(fixture.runSucceeded);
    // The gateway registered itself and removed its registration when it stopped.
    CHECK(fixture.store.countKeysWithPrefix("lagoondeck/members/") == 0);
}

TEST_CASE("malformed and oversized requests are refused and not sent to a target")
{
    GatewayFixture fixture;
    const std::uint64_t before = fixture.runs();
    CHECK(fixture.sendRaw("GET /one/x\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(fixture.sendRaw("GET /one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nX: "
                          + std::string(3000, 'x') + "\r\n\r\n")
                  .starts_with("HTTP/1.1 431"));
    CHECK(fixture.sendRaw("POST /one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: "
                          "9999\r\n\r\n")
                  .starts_with("HTTP/1.1 413"));
    CHECK(fixture.sendRaw("GET /one/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                  .starts_with("HTTP/1.1 400"));
    CHECK(fixture.runs() == before);
}

TEST_CASE("pipelined requests are answered in order")
{
    GatewayFixture fixture;
    std::string bytes;
    for (const char *id : {"p1", "p2", "p3"}) {
        bytes += std::string("GET /one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: ") + id
                + (id == std::string("p3") ? "\r\nConnection: close" : "") + "\r\n\r\n";
    }
    const std::string answers = fixture.sendRaw(bytes);
    const std::size_t first = answers.find("/p1");
    const std::size_t second = answers.find("/p2");
    const std::size_t third = answers.find("/p3");
    REQUIRE(third != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
}

// Guards against a new configuration that waits for the time limits of store calls on dead
// connections.
TEST_CASE("a configuration is in force in time after all connections to the store fell silent")
{
    GatewayFixture fixture;
    REQUIRE(fixture.call("/one/x", "n1").status() == 200);
    // The second connection to the store, of the registration, is idle.
    std::this_thread::sleep_for(1s);
    fixture.served->change([&] {
        fixture.store.silenceOpenConnections();
        fixture.store.put("op/config", configVersion(4));
    });
    CHECK(fixture.waitForStatus("\"configVersion\":4", fixture.settings.maxReactionTime));
}

// Guards against a watch from a revision of the old history that the new one has given out again:
// what the new history holds before it is never seen.
TEST_CASE("a configuration is in force although a restored store has given out its revision before")
{
    GatewayFixture fixture;
    PlatformStore::Copy copy;
    fixture.served->change([&] { copy = fixture.store.copy(); });
    fixture.served->change([&] {
        fixture.store.put("op/config", configVersion(4));
        fixture.store.put("servers/noise", "1");
    });
    REQUIRE(fixture.waitForStatus("\"configVersion\":4", 3s));
    fixture.served->change([&] {
        fixture.store.restore(copy);
        fixture.store.put("op/config", configVersion(5));
        for (int i = 0; i < 3; ++i) {
            fixture.store.put("servers/noise", std::to_string(i));
        }
    });
    CHECK(fixture.waitForStatus("\"configVersion\":5", 3s));
}

// Guards against targets in need that get more than the limit that they state.
TEST_CASE("a daemon sends its targets no more than they take and refuses the rest as not run")
{
    GatewayFixture fixture("5");
    constexpr int requests = 60;
    const auto begin = std::chrono::steady_clock::now();
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const CallReply reply = fixture.call("/one/x", "l" + std::to_string(i));
        served += reply.status() == 200 ? 1 : 0;
        if (reply.status() != 200) {
            CHECK(reply.status() == 503);
            CHECK_FALSE(reply.header("Retry-After").empty());
        }
        std::this_thread::sleep_for(20ms);
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    // Two targets, each with five requests a second and one second of them in advance, and the
    // first requests, before the limit was known.
    CHECK(served <= 2 * (5.0 * (elapsed.count() + 1.0) + 3.0));
    CHECK(served >= 0.8 * std::min<double>(requests, 2 * 5.0 * elapsed.count()));
    CHECK(fixture.runs() == static_cast<std::uint64_t>(served));
}

// Guards against a pipelined request whose time starts when the request before it was answered.
TEST_CASE("the time that a pipelined request waits for the one before it counts as its own")
{
    GatewayFixture fixture;
    for (const auto &target : fixture.targets) {
        target->setDelay(300ms);
    }
    const auto request = [](const std::string &id, const std::string &more) {
        return "GET /one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1000\r\n"
                + more + "\r\n";
    };
    fixture.sendRaw(request("w1", "") + request("w2", "Connection: close\r\n"));
    std::optional<Duration> limit;
    for (const auto &target : fixture.targets) {
        limit = limit ? limit : target->timeLimitOf("w2");
    }
    REQUIRE(limit);
    CHECK(*limit <= 700ms);
}

TEST_CASE("a misbehaving target's replies never reach a caller as a success")
{
    GatewayFixture fixture;
    for (const TargetFault fault :
         {TargetFault::Refuse, TargetFault::Unsigned, TargetFault::WrongRequestId,
          TargetFault::CloseConnection, TargetFault::WrongInstance}) {
        fixture.targets[0]->setFault(fault);
        for (int i = 0; i < 4; ++i) {
            const std::string id =
                    "f" + std::to_string(static_cast<int>(fault)) + std::to_string(i);
            const CallReply reply = fixture.call("/one/x", id);
            CHECK(reply.status() == 200);
            CHECK(reply.header("Server-Stamp") == "t01/" + id);
        }
    }
}

TEST_CASE("a request of an unsafe route is never run twice when its target fails")
{
    GatewayFixture fixture;
    fixture.targets[0]->setFault(TargetFault::Unsigned);
    fixture.targets[1]->setFault(TargetFault::Fail);
    for (int i = 0; i < 20; ++i) {
        const CallReply reply = fixture.call("/once/x", "u" + std::to_string(i), "body");
        CHECK((reply.status() == 502 || reply.status() == 500));
    }
    CHECK(fixture.targets[0]->duplicateRuns() + fixture.targets[1]->duplicateRuns() == 0);
    CHECK(fixture.runs() == 20);
}

TEST_CASE("a graceful stop withdraws readiness first and finishes the requests in flight")
{
    GatewayFixture fixture;
    for (const auto &target : fixture.targets) {
        target->setDelay(600ms);
    }
    CallReply reply;
    std::thread caller([&] { reply = fixture.call("/one/slow", "s1"); });
    std::this_thread::sleep_for(200ms);
    std::raise(SIGTERM);
    std::this_thread::sleep_for(200ms);
    CHECK(fixture.readyStatus() == 503);
    caller.join();
    CHECK(reply.status() == 200);
    CHECK(reply.header("Connection") == "close");
    fixture.thread.join();
    CHECK(fixture.runSucceeded);
}
