#include "gateway_node_fixture.h"
#include "raw_caller.h"
#include "tests/support/test_failure.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

using namespace lagoondeck;
using namespace lagoondeck::edgetest;

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
    fixture.sendSignal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    CHECK(fixture.readyStatus() == 503);
    caller.join();
    CHECK(reply.status() == 200);
    CHECK(reply.header("Connection") == "close");
    fixture.thread.join();
    CHECK(fixture.runSucceeded);
}

// Guards against a full send buffer that is taken for a broken connection.
TEST_CASE("slow reader: an answer that is longer than all buffers arrives completely")
{
    GatewayFixture fixture("", 1024 * 1024);
    RawCaller caller(fixture.settings.callerAddress, true);
    const CallerView view = caller.call("/one/x", "long");
    CHECK(view.status == 200);
}

// Guards against answers that fill the memory because their caller sends requests and reads
// nothing.
TEST_CASE("a caller that pipelines requests gets the next answer once it has read the one before")
{
    // 1 MiB.
    GatewayFixture fixture("", 64 * 1024);
    RawCaller caller(fixture.settings.callerAddress, true);
    constexpr int requests = 40;
    std::string bytes;
    for (int i = 0; i < requests; ++i) {
        bytes += "GET /one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: b" + std::to_string(i)
                + "\r\nDeadline-Ms: 6000\r\n\r\n";
    }
    REQUIRE(caller.send(bytes));
    std::this_thread::sleep_for(1s);
    // What the operating system buffers, and one answer that waits.
    CHECK(fixture.runs() < requests / 2);
    for (int i = 0; i < requests; ++i) {
        CallerView view;
        caller.receive(view);
        // The last ones have waited for longer than their time limit.
        CHECK((view.status == 200 || (i > 0 && view.status == 503)));
    }
}

// Guards against an exception in the event loop, which ended the process and lost all requests in
// flight.
TEST_CASE("an exception in the event loop ends neither the process nor the requests in flight")
{
    GatewayFixture fixture;
    std::atomic<int> reloads = 0;
    fixture.reload = [&] {
        ++reloads;
        throw TestFailure("can't be read");
    };
    for (const auto &target : fixture.targets) {
        target->setDelay(300ms);
    }
    CallReply reply;
    std::thread caller([&] { reply = fixture.call("/one/slow", "s1"); });
    std::this_thread::sleep_for(100ms);
    fixture.sendSignal(SIGHUP);
    caller.join();
    CHECK(reply.status() == 200);
    CHECK(reloads == 1);
    TestClient control(fixture.settings.controlAddress);
    const std::string metrics = control.call("GET", "/metrics").body;
    CHECK(metrics.find("lagoondeck_failed_steps_total{thread=\"main\"} 1") != std::string::npos);
}
