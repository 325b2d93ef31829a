#include "core/os/clock.h"
#include "drivers/edge/target_links.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
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
                  [this](const TargetId &, Duration delay) { this->writeDelays.push_back(delay); })
    { }

    void startAttempt(std::uint64_t id, Instant deadlineAt)
    {
        ForwardedRequest request;
        request.method = "GET";
        request.path = "/x";
        request.host = "h";
        request.requestId = "r" + std::to_string(id);
        this->links.startAttempt({AttemptId(id), TargetId("t"), this->listener.address().toString(),
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

    Poco::Net::ServerSocket listener;
    EdgeLoop loop;
    std::vector<GatewayEvent> events;
    std::vector<Duration> writeDelays;
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
