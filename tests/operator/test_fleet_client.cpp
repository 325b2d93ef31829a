#include "core/instance_list_codec.h"
#include "operator/command_error.h"
#include "operator/fleet_client.h"
#include "tests/support/fake_service.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace lagoondeck;
using namespace lagoondeck::testing;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(5);

/// An entry instance that replies with a fixed status text and counts drain calls.
struct FakeInstance
{
    explicit FakeInstance(std::string status)
        : status(std::move(status)),
          service([this](HTTPServerRequest &request, HTTPServerResponse &response) {
              bodyOf(request);
              if (request.getURI() == "/v1/drain" && request.getMethod() == "POST") {
                  ++this->drainCount;
                  reply(response, 202, "{}");
              } else {
                  const std::lock_guard lock(this->mutex);
                  reply(response, 200, this->status);
              }
          })
    { }

    void setStatus(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->status = text;
    }

    EntryInstance instance(const std::string &id, InstanceState state = InstanceState::Live) const
    {
        return {InstanceId {id}, "127.0.0.1:1", this->service.address(), FailureDomain {"d"},
                state};
    }

    std::mutex mutex;
    std::string status;
    std::atomic<int> drainCount = 0;
    FakeService service;
};

/// Serves an instance list.
struct FakeInstanceList
{
    explicit FakeInstanceList(InstanceList list)
        : text(writeInstanceList(list)),
          service([this](HTTPServerRequest &, HTTPServerResponse &response) {
              reply(response, 200, this->text);
          })
    { }

    std::string text;
    FakeService service;
};

EntryInstance unreachableInstance(const std::string &id)
{
    return {InstanceId {id}, "127.0.0.1:1", refusingAddress(), FailureDomain {"d"},
            InstanceState::Live};
}

} // namespace

TEST_CASE("Live instances that do not report the revision within the bound are returned")
{
    FakeInstance ahead(R"({"catalogueRevision":8})");
    FakeInstance behind(R"({"catalogueRevision":6})");
    FakeInstance broken("no status");
    InstanceList list;
    list.entries = {ahead.instance("ahead"), behind.instance("behind"), broken.instance("broken"),
                    unreachableInstance("dead"),
                    behind.instance("leaving", InstanceState::Leaving)};
    FakeInstanceList service(list);
    FleetClient fleet(service.service.address(), callTimeout);
    const auto lagging = fleet.waitInForce(Revision {7}, Duration(0)).value();
    REQUIRE(lagging.size() == 3);
    CHECK(lagging[0].id == InstanceId {"behind"});
    CHECK(lagging[0].revision == Revision {6});
    CHECK(lagging[1].id == InstanceId {"broken"});
    CHECK_FALSE(lagging[1].revision);
    CHECK(lagging[2].id == InstanceId {"dead"});
}

TEST_CASE("The wait ends once every live instance reports the revision")
{
    FakeInstance server(R"({"catalogueRevision":6})");
    InstanceList list;
    list.entries = {server.instance("node")};
    FakeInstanceList service(list);
    FleetClient fleet(service.service.address(), callTimeout);
    std::jthread later([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        server.setStatus(R"({"catalogueRevision":7})");
    });
    CHECK(fleet.waitInForce(Revision {7}, std::chrono::seconds(60)).value().empty());
}

TEST_CASE("A drain is requested, and only a refused connection shows that the instance has stopped")
{
    FakeInstance server(R"({"catalogueRevision":6})");
    FakeInstanceList service(InstanceList {});
    FleetClient fleet(service.service.address(), callTimeout);
    CHECK(fleet.drain(server.instance("node")));
    CHECK(server.drainCount == 1);
    CHECK_FALSE(fleet.waitUntilStopped(server.instance("node"), std::chrono::milliseconds(50)));
    CHECK(fleet.waitUntilStopped(unreachableInstance("dead"), std::chrono::seconds(20)));
}
