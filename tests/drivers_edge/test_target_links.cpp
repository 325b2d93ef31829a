#include "core/os/clock.h"
#include "drivers/edge/target_links.h"
#include "tests/support/endless_target.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

/// Connections to a target that the test plays itself.
class LinksFixture
{
public:
    LinksFixture()
        : listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
          links(
                  this->loop, [this](GatewayEvent event) { this->events.push_back(event); },
                  [this](const TargetId &, Duration delay) { this->writeDelays.push_back(delay); },
                  this->traffic)
    { }

    void startAttempt(std::uint64_t id, Instant deadlineAt)
    {
        this->startAttemptAt(this->listener.address().toString(), id, deadlineAt);
    }

    void startAttemptAt(const std::string &address, std::uint64_t id, Instant deadlineAt)
    {
        ForwardedRequest request;
        request.method = "GET";
        request.path = "/x";
        request.host = "h";
        request.requestId = "r" + std::to_string(id);
        this->links.startAttempt({AttemptId(id), TargetId("t"), address,
                                  std::make_shared<const ForwardedRequest>(request), deadlineAt},
                                 monotonicNow());
    }

    /// Accepts the target's connection and returns the request on it.
    std::string receiveRequest(Poco::Net::StreamSocket &connection)
    {
        connection = this->listener.acceptConnection();
        connection.setReceiveTimeout(Poco::Timespan(0, 1000));
        std::string request;
        while (!request.ends_with("\r\n\r\n")) {
            this->loop.poll(1ms);
            char buffer[1024];
            try {
                request.append(
                        buffer,
                        static_cast<std::size_t>(connection.receiveBytes(buffer, sizeof buffer)));
            } catch (const Poco::TimeoutException &) {
                // The request has not been written yet.
            }
        }
        return request;
    }

    void pollUntilEvent()
    {
        for (int i = 0; i < 500 && this->events.empty(); ++i) {
            this->loop.poll(1ms);
        }
    }

    Poco::Net::ServerSocket listener;
    EdgeLoop loop;
    std::vector<GatewayEvent> events;
    std::vector<Duration> writeDelays;
    DomainTraffic traffic;
    TargetLinks links;
};

long timeLimitOf(const std::string &request)
{
    const std::string name = "Deadline-Ms: ";
    return std::stol(request.substr(request.find(name) + name.size()));
}

} // namespace

TEST_CASE("the time until the connection is established is not handed to the target")
{
    LinksFixture fixture;
    fixture.startAttempt(1, monotonicNow() + 800ms);
    // The event loop is busy, so that the established connection is noticed late.
    std::this_thread::sleep_for(300ms);
    Poco::Net::StreamSocket connection;
    const long limit = timeLimitOf(fixture.receiveRequest(connection));
    CHECK(limit <= 500);
    CHECK(limit > 0);
    REQUIRE(fixture.writeDelays.size() == 1);
    CHECK(fixture.writeDelays.front() >= 300ms);
}

TEST_CASE("a request that is written after its deadline still states a time limit")
{
    LinksFixture fixture;
    fixture.startAttempt(1, monotonicNow() + 50ms);
    std::this_thread::sleep_for(100ms);
    Poco::Net::StreamSocket connection;
    CHECK(timeLimitOf(fixture.receiveRequest(connection)) == 1);
}

TEST_CASE("a probe tells whether a connection could be made, and later requests use the connection")
{
    LinksFixture fixture;
    fixture.links.probe({7, TargetId("t"), fixture.listener.address().toString()}, monotonicNow());
    fixture.pollUntilEvent();
    REQUIRE(fixture.events.size() == 1);
    const auto &probed = std::get<PathProbed>(fixture.events.front());
    CHECK(probed.number == 7);
    CHECK(probed.connected);
    fixture.startAttempt(1, monotonicNow() + 500ms);
    Poco::Net::StreamSocket connection;
    fixture.receiveRequest(connection);
    CHECK(fixture.links.connectionsOpened() == 1);
}

TEST_CASE("a probe of an address that refuses connections fails")
{
    LinksFixture fixture;
    const std::string address = fixture.listener.address().toString();
    fixture.listener.close();
    fixture.links.probe({7, TargetId("t"), address}, monotonicNow());
    fixture.pollUntilEvent();
    REQUIRE(fixture.events.size() == 1);
    CHECK_FALSE(std::get<PathProbed>(fixture.events.front()).connected);
}

TEST_CASE("a probe that hangs ends by the time limit of connecting")
{
    LinksFixture fixture;
    const Instant now = monotonicNow();
    fixture.links.probe({7, TargetId("t"), fixture.listener.address().toString()}, now);
    fixture.links.checkTimeouts(now + 1ms);
    CHECK(fixture.events.empty());
    fixture.links.checkTimeouts(now + 10s);
    REQUIRE(fixture.events.size() == 1);
    CHECK_FALSE(std::get<PathProbed>(fixture.events.front()).connected);
}

// Guards against requests that wait most of their time for connections that hang.
TEST_CASE("an attempt to connect that hangs ends soon where connections are made quickly")
{
    LinksFixture fixture;
    const std::string address = fixture.listener.address().toString();
    for (std::uint64_t i = 1; i <= 10; ++i) {
        fixture.links.probe({i, TargetId("t"), address}, monotonicNow());
        fixture.pollUntilEvent();
        REQUIRE(std::get<PathProbed>(fixture.events.front()).connected);
        fixture.events.clear();
    }
    fixture.links.dropIdle();
    const Instant now = monotonicNow();
    fixture.startAttempt(1, now + 2s);
    fixture.links.checkTimeouts(now + 300ms);
    REQUIRE(fixture.events.size() == 1);
    CHECK(std::get<AttemptEnded>(fixture.events.front()).kind == AttemptEndKind::Unreachable);
}

TEST_CASE("only attempts whose request has not been sent are withdrawn")
{
    LinksFixture fixture;
    fixture.startAttempt(1, monotonicNow() + 800ms);
    Poco::Net::StreamSocket connection;
    fixture.receiveRequest(connection);
    fixture.startAttempt(2, monotonicNow() + 800ms);
    fixture.links.withdrawUnsent();
    REQUIRE(fixture.events.size() == 1);
    const auto &ended = std::get<AttemptEnded>(fixture.events.front());
    CHECK(ended.attempt == AttemptId(2));
    CHECK(ended.kind == AttemptEndKind::Unreachable);
    // Its connection carries no request later either.
    fixture.loop.poll(20ms);
    CHECK(fixture.writeDelays.size() == 1);
}

// Guards against a request that was given up during a network partition and arrives after it.
TEST_CASE("closing an attempt resets its connection, so that bytes under way are discarded")
{
    LinksFixture fixture;
    fixture.startAttempt(1, monotonicNow() + 800ms);
    Poco::Net::StreamSocket connection;
    fixture.receiveRequest(connection);
    fixture.links.closeAttempt(AttemptId(1));
    connection.setReceiveTimeout(Poco::Timespan(1, 0));
    char byte = 0;
    CHECK_THROWS_AS(connection.receiveBytes(&byte, 1), Poco::Net::ConnectionResetException);
}

TEST_CASE("closing an idle connection to a target does not reset it")
{
    LinksFixture fixture;
    fixture.links.probe({7, TargetId("t"), fixture.listener.address().toString()}, monotonicNow());
    fixture.pollUntilEvent();
    Poco::Net::StreamSocket connection = fixture.listener.acceptConnection();
    fixture.links.dropIdle();
    connection.setReceiveTimeout(Poco::Timespan(1, 0));
    char byte = 0;
    CHECK(connection.receiveBytes(&byte, 1) == 0);
}

// Guards against a target whose bytes never end: the event loop must serve the other connections
// meanwhile, and the buffered bytes must be limited.
TEST_CASE("bytes without end neither block the event loop nor fill the memory")
{
    const auto [head, body] = GENERATE(table<std::string, std::string>(
            {{"HTTP/1.1 200 OK\r\nA: ", "x"},
             {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
             {"", "HTTP/1.1 100 Continue\r\n\r\n"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
             {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "x"},
             {"HTTP/1.1 200 OK\r\n\r\n", "x"},
             {"no reply at all", "x"}}));
    INFO(head << body);
    EndlessTarget target(head, body);
    LinksFixture fixture;
    fixture.startAttemptAt(target.address(), 1, monotonicNow() + 600ms);
    Duration longest {};
    const Instant end = monotonicNow() + 800ms;
    bool closeSent = false;
    while (monotonicNow() < end) {
        const Instant before = monotonicNow();
        fixture.loop.poll(1ms);
        longest = std::max(longest, monotonicNow() - before);
        if (!closeSent && monotonicNow() > end - 200ms) {
            closeSent = true;
            fixture.links.closeAttempt(AttemptId(1));
        }
    }
    CHECK(longest < 100ms);
    CHECK(target.bytesSent() < 64 * 1024 * 1024);
    for (int i = 0; i < 50 && !target.wasClosed(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(target.wasClosed());
}
