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

/// An entry instance that answers a fixed status text and counts the drains.
struct FakeNode
{
    explicit FakeNode(std::string status)
        : status(std::move(status)),
          service([this](HTTPServerRequest &request, HTTPServerResponse &response) {
              bodyOf(request);
              if (request.getURI() == "/v1/drain" && request.getMethod() == "POST") {
                  ++this->drains;
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
    std::atomic<int> drains = 0;
    FakeService service;
};

/// An instance list of some entry instances.
struct FakeList
{
    explicit FakeList(InstanceList list)
        : text(writeInstanceList(list)),
          service([this](HTTPServerRequest &, HTTPServerResponse &response) {
              reply(response, 200, this->text);
          })
    { }

    std::string text;
    FakeService service;
};

EntryInstance deadInstance(const std::string &id)
{
    return {InstanceId {id}, "127.0.0.1:1", refusingAddress(), FailureDomain {"d"},
            InstanceState::Live};
}

} // namespace

TEST_CASE("Whoever does not report the revision within the bound is named, leaving ones aside")
{
    FakeNode ahead(R"({"catalogueRevision":8})");
    FakeNode behind(R"({"catalogueRevision":6})");
    FakeNode broken("no status");
    InstanceList list;
    list.entries = {ahead.instance("ahead"), behind.instance("behind"), broken.instance("broken"),
                    deadInstance("dead"), behind.instance("leaving", InstanceState::Leaving)};
    FakeList service(list);
    FleetClient fleet(service.service.address(), callTimeout);
    const auto lacking = fleet.waitInForce(Revision {7}, Duration(0)).value();
    REQUIRE(lacking.size() == 3);
    CHECK(lacking[0].id == InstanceId {"behind"});
    CHECK(lacking[0].revision == Revision {6});
    CHECK(lacking[1].id == InstanceId {"broken"});
    CHECK_FALSE(lacking[1].revision);
    CHECK(lacking[2].id == InstanceId {"dead"});
}

TEST_CASE("The wait ends as soon as every live instance reports the revision")
{
    FakeNode node(R"({"catalogueRevision":6})");
    InstanceList list;
    list.entries = {node.instance("node")};
    FakeList service(list);
    FleetClient fleet(service.service.address(), callTimeout);
    std::jthread later([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        node.setStatus(R"({"catalogueRevision":7})");
    });
    CHECK(fleet.waitInForce(Revision {7}, std::chrono::seconds(60)).value().empty());
}

TEST_CASE("A drain is asked for, and only a refused connection shows that it ended")
{
    FakeNode node(R"({"catalogueRevision":6})");
    FakeList service(InstanceList {});
    FleetClient fleet(service.service.address(), callTimeout);
    CHECK(fleet.drain(node.instance("node")));
    CHECK(node.drains == 1);
    CHECK_FALSE(fleet.waitGone(node.instance("node"), std::chrono::milliseconds(50)));
    CHECK(fleet.waitGone(deadInstance("dead"), std::chrono::seconds(20)));
}
