#include "core/os/clock.h"
#include "drivers/edge/http_listener.h"

#include "raw_caller.h"
#include "tests/support/free_addresses.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lagoondeck;
using namespace lagoondeck::edgetest;

namespace {

/// Answers each request at once.
ServerConnection::Hooks answeringHooks()
{
    ServerConnection::Hooks hooks;
    hooks.onRequest = [](ServerConnection &connection, const HttpMessage &) {
        connection.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", true,
                          monotonicNow());
    };
    hooks.onPeerLeft = [](ServerConnection &) {};
    hooks.refusal = [](int) { return std::string(); };
    return hooks;
}

} // namespace

// Guards against callers whose connection is established, but not accepted, when the process ends.
TEST_CASE("a listener does not stop while a connection waits to be accepted")
{
    const std::string address = freeAddresses(1).front();
    EdgeLoop loop;
    HttpListener listener(
            loop, [] { return CallerLimits {}; }, answeringHooks());
    REQUIRE(listener.listen(address));
    RawCaller caller(address);
    REQUIRE(caller.isConnected());
    REQUIRE(caller.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    CHECK_FALSE(listener.stopUnlessWaiting());
    for (int i = 0; i < 10; ++i) {
        loop.poll(std::chrono::milliseconds(10));
    }
    CallerView view;
    caller.receive(view);
    CHECK(view.status == 200);
    CHECK(listener.stopUnlessWaiting());
    CHECK_FALSE(RawCaller(address).isConnected());
}

// Guards against the connections of one caller that count as different callers because their ports
// differ.
TEST_CASE("a connection knows its caller's address without the port")
{
    const std::string address = freeAddresses(1).front();
    EdgeLoop loop;
    std::vector<std::string> hosts;
    ServerConnection::Hooks hooks = answeringHooks();
    const auto answer = hooks.onRequest;
    hooks.onRequest = [&](ServerConnection &connection, const HttpMessage &message) {
        hosts.push_back(connection.peerHost());
        answer(connection, message);
    };
    HttpListener listener(
            loop, [] { return CallerLimits {}; }, hooks);
    REQUIRE(listener.listen(address));
    RawCaller first(address);
    RawCaller second(address);
    REQUIRE(first.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    REQUIRE(second.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    for (int i = 0; i < 100 && hosts.size() < 2; ++i) {
        loop.poll(std::chrono::milliseconds(10));
    }
    CHECK(hosts == std::vector<std::string> {"127.0.0.1", "127.0.0.1"});
}
