#include "drivers/instance_list_poller.h"
#include "event_collector.h"
#include "tests/support/fake_service.h"
#include "tests/support/test_failure.h"

#include <catch2/catch.hpp>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <atomic>
#include <thread>

using namespace lagoondeck;
using namespace lagoondeck::testing;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

TEST_CASE("The instance list is reported after the first read and after each change only")
{
    std::atomic<int> state = 0;
    FakeService service([&](HTTPServerRequest &, HTTPServerResponse &response) {
        const std::string first = R"({"entries":[{"id":"e-0","peerAddress":"127.0.0.1:1"}]})";
        const std::string second = R"({"entries":[{"id":"e-1","peerAddress":"127.0.0.1:1"}]})";
        if (state == 1) {
            reply(response, 500, "");
        } else {
            reply(response, 200, state == 0 ? first : state == 2 ? second : "{broken");
        }
    });
    EventCollector events;
    InstanceListPoller poller(service.address(), std::chrono::milliseconds(2),
                              [&](EventBody event) { events.add(std::move(event)); });
    const auto waitForCalls = [&](std::uint64_t more) {
        const std::uint64_t from = poller.calls();
        while (poller.calls() < from + more) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    };
    auto event = events.waitForEvent(0);
    REQUIRE(event);
    CHECK(std::get<InstancesListed>(*event).list.entries.front().id == InstanceId {"e-0"});
    for (const int failing : {1, 3, 0}) {
        state = failing;
        waitForCalls(4);
        CHECK(events.size() == 1);
    }
    state = 2;
    event = events.waitForEvent(1);
    REQUIRE(event);
    CHECK(std::get<InstancesListed>(*event).list.entries.front().id == InstanceId {"e-1"});
}

TEST_CASE("A poller whose service refuses connections reports nothing and can be stopped")
{
    EventCollector events;
    InstanceListPoller poller(refusingAddress(), std::chrono::milliseconds(1),
                              [&](EventBody event) { events.add(std::move(event)); });
    while (poller.calls() < 5) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(events.size() == 0);
}

// Guards against an exception on the poller's thread, which ended the process.
TEST_CASE("A list that can't be processed ends neither the process nor the poller")
{
    FakeService service([&](HTTPServerRequest &, HTTPServerResponse &response) {
        reply(response, 200, R"({"entries":[{"id":"e-0","peerAddress":"127.0.0.1:1"}]})");
    });
    InstanceListPoller poller(service.address(), std::chrono::milliseconds(1),
                              [](EventBody) { throw TestFailure("can't be processed"); });
    while (poller.calls() < 5) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(poller.stepGuard().failures() >= 1);
}
