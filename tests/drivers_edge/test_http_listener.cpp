#include "core/os/clock.h"
#include "drivers/edge/http_listener.h"

#include "raw_caller.h"
#include "tests/support/free_addresses.h"

#include <catch2/catch.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
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

// Load: one caller sends thousands of small requests at once that are answered without any work.
// Guards against an event loop that serves nobody else until all of them are answered.
TEST_CASE("many small requests of one caller don't hold up the others")
{
    const std::string address = freeAddresses(1).front();
    EdgeLoop loop;
    std::size_t answered = 0;
    std::size_t answeredBeforeOther = 0;
    ServerConnection::Hooks hooks = answeringHooks();
    hooks.onRequest = [&](ServerConnection &connection, const HttpMessage &message) {
        ++answered;
        if (message.target == "/other") {
            answeredBeforeOther = answered - 1;
        }
        connection.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, monotonicNow());
    };
    HttpListener listener(
            loop, [] { return CallerLimits {}; }, hooks);
    REQUIRE(listener.listen(address));
    RawCaller flood(address);
    RawCaller other(address);
    loop.poll(std::chrono::milliseconds(10));
    constexpr std::size_t count = 2000;
    std::string requests;
    for (std::size_t i = 0; i < count; ++i) {
        requests += "GET /f HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    REQUIRE(flood.send(requests));
    for (int i = 0; i < 100 && answered == 0; ++i) {
        loop.poll(std::chrono::milliseconds(10));
    }
    REQUIRE(other.send("GET /other HTTP/1.1\r\nHost: h\r\n\r\n"));
    std::size_t mostPerIteration = answered;
    for (int i = 0; i < 10000 && answered < count + 1; ++i) {
        const std::size_t before = answered;
        loop.poll(std::chrono::milliseconds(10));
        mostPerIteration = std::max(mostPerIteration, answered - before);
    }
    CHECK(answered == count + 1);
    CHECK(answeredBeforeOther > 0);
    CHECK(answeredBeforeOther < count / 2);
    CHECK(mostPerIteration < count / 10);
}

// Guards against requests that are forgotten because their caller has sent its last one.
TEST_CASE("many requests are answered although their caller has finished sending")
{
    const std::string address = freeAddresses(1).front();
    EdgeLoop loop;
    std::size_t answered = 0;
    ServerConnection::Hooks hooks = answeringHooks();
    hooks.onRequest = [&](ServerConnection &connection, const HttpMessage &) {
        ++answered;
        connection.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, monotonicNow());
    };
    HttpListener listener(
            loop, [] { return CallerLimits {}; }, hooks);
    REQUIRE(listener.listen(address));
    Poco::Net::StreamSocket socket {Poco::Net::SocketAddress(address)};
    std::string requests;
    for (int i = 0; i < 500; ++i) {
        requests += "GET /f HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    socket.sendBytes(requests.data(), static_cast<int>(requests.size()));
    socket.shutdownSend();
    for (int i = 0; i < 1000 && (answered < 500 || listener.size() > 0); ++i) {
        loop.poll(std::chrono::milliseconds(10));
    }
    CHECK(answered == 500);
    CHECK(listener.size() == 0);
}

// Guards against a connection that keeps the limits of the moment at which it was accepted: those
// of an instance that knew no configuration yet, or of an older version.
TEST_CASE("a request on a kept connection is read with the limits that are in force when it begins")
{
    const std::string address = freeAddresses(1).front();
    EdgeLoop loop;
    CallerLimits limits;
    limits.bodyBytes = 100;
    limits.headerBytes = 200;
    std::vector<std::size_t> bodies;
    std::vector<int> refusals;
    ServerConnection::Hooks hooks = answeringHooks();
    hooks.onRequest = [&](ServerConnection &connection, const HttpMessage &message) {
        bodies.push_back(message.body.size());
        connection.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, monotonicNow());
    };
    hooks.refusal = [&](int status) {
        refusals.push_back(status);
        return std::string();
    };
    HttpListener listener(
            loop, [&] { return limits; }, hooks);
    REQUIRE(listener.listen(address));
    RawCaller caller(address);
    const auto post = [&](std::size_t bytes) {
        const std::size_t handled = bodies.size() + refusals.size();
        REQUIRE(caller.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: "
                            + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x')));
        for (int i = 0; i < 100 && bodies.size() + refusals.size() == handled; ++i) {
            loop.poll(std::chrono::milliseconds(10));
        }
    };
    post(80);
    limits.bodyBytes = 5000;
    post(4000);
    CHECK(bodies == std::vector<std::size_t> {80, 4000});
    limits.bodyBytes = 1000;
    post(4000);
    CHECK(refusals == std::vector<int> {413});
}
