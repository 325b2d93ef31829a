// Members that can't reach the store get the parts of the state that they don't have.

#include "gateway_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

RoutingConfig versionOf(std::uint64_t version)
{
    RoutingConfig config = configOf({plainRoute("/a/", "shard0", false)});
    config.version = version;
    return config;
}

std::vector<TargetRecord> manyTargets()
{
    std::vector<TargetRecord> targets;
    for (int i = 0; i < 40; ++i) {
        targets.push_back(target("t" + std::to_string(i), "shard0"));
    }
    return targets;
}

/// Lets calls to the store fail until the instance asks a member for the state.
StoreUpdate stateRequestOf(GatewayHarness &harness)
{
    StoreAnswer failure;
    failure.status = StoreCallStatus::Unavailable;
    harness.updates.clear();
    for (int i = 0; i < 50; ++i) {
        harness.answerStore<WatchStore>(failure);
        harness.advance(milliseconds(200));
        for (const SendStoreUpdate &update : harness.updates) {
            if (update.update->isStateRequest) {
                return *update.update;
            }
        }
    }
    FAIL("no request for the state");
    return {};
}

/// Returns a member's reply to a request for the state.
StoreUpdate replyOf(GatewayHarness &member, const StoreUpdate &request)
{
    member.updates.clear();
    member.apply(StoreUpdateReceived {"127.0.0.1:7000", request});
    REQUIRE(member.updates.size() == 1);
    return *member.updates[0].update;
}

/// An instance that knows the same as the member and loses the store.
GatewayHarness requester()
{
    GatewayHarness harness(versionOf(5), manyTargets());
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    return harness;
}

} // namespace

// Guards against instances that get the whole state twice a second while the store is away.
TEST_CASE("a member with the same state sends none of it")
{
    GatewayHarness asking = requester();
    GatewayHarness member = requester();
    StoreChange heartbeat = GatewayHarness::targetChange(target("t3", "shard0"), 900);
    member.answerWatch({heartbeat});
    const StoreUpdate reply = replyOf(member, stateRequestOf(asking));
    CHECK(reply.isPartialState);
    CHECK(reply.changes.empty());
    asking.apply(StoreUpdateReceived {"127.0.0.1:7001", reply});
    CHECK(asking.gateway.status(asking.now).targets == 40);
    CHECK(asking.gateway.status(asking.now).storeDataAge == Duration(0));
}

// Guards against a change that an instance without the store misses.
TEST_CASE("a member sends the parts that differ, and removed keys are dropped")
{
    GatewayHarness asking = requester();
    GatewayHarness member = requester();
    StoreChange removal = GatewayHarness::removal("t7");
    removal.revision = 901;
    member.answerWatch({removal, GatewayHarness::targetChange(target("new", "shard0"), 902)});
    const StoreUpdate reply = replyOf(member, stateRequestOf(asking));
    CHECK(reply.isPartialState);
    CHECK(reply.changes.size() < 20);
    asking.apply(StoreUpdateReceived {"127.0.0.1:7001", reply});
    CHECK(stateRequestOf(asking).bucketDigests == stateRequestOf(member).bucketDigests);
}

TEST_CASE("a newer configuration is sent, and one that is in force is not")
{
    GatewayHarness asking = requester();
    GatewayHarness member = requester();
    member.answerWatch({GatewayHarness::configChange(versionOf(6), 902)});
    const StoreUpdate reply = replyOf(member, stateRequestOf(asking));
    REQUIRE(reply.changes.size() == 1);
    asking.apply(StoreUpdateReceived {"127.0.0.1:7001", reply});
    CHECK(asking.gateway.status(asking.now).configVersion == 6);
}

// Guards against a member of an older version that takes a part for the whole.
TEST_CASE("a request without hashes gets the whole state")
{
    GatewayHarness member = requester();
    StoreUpdate request;
    request.isStateRequest = true;
    const StoreUpdate reply = replyOf(member, request);
    CHECK_FALSE(reply.isPartialState);
    CHECK(reply.changes.size() >= 43);
}

// Guards against an instance that misses one update and ignores the next ones for seconds, until it
// calls the store itself (DRAIN and a late configuration in a hunted day).
TEST_CASE("an instance that missed an update gets the difference from the sender of the next one")
{
    GatewayHarness asking = requester();
    GatewayHarness member = requester();
    StoreChange removal = GatewayHarness::removal("t7");
    member.answerWatch({removal});
    member.answerWatch({GatewayHarness::configChange(versionOf(6), 905)});
    StoreUpdate missedOne;
    missedOne.fromRevision = asking.revision + 1;
    missedOne.toRevision = asking.revision + 2;
    missedOne.origin = InstanceId("b");
    asking.updates.clear();
    asking.apply(StoreUpdateReceived {"127.0.0.1:7001", missedOne});
    const auto request = std::ranges::find_if(asking.updates, [](const SendStoreUpdate &update) {
        return update.update->isStateRequest;
    });
    REQUIRE(request != asking.updates.end());
    CHECK(request->receivers == std::vector<std::string> {"127.0.0.1:7001"});
    asking.apply(StoreUpdateReceived {"127.0.0.1:7001", replyOf(member, *request->update)});
    asking.advance(milliseconds(1));
    CHECK(asking.gateway.status(asking.now).targets == 39);
    CHECK(asking.gateway.status(asking.now).configVersion == 6);
    // A reply that nobody asked for does not replace what the store told.
    StoreUpdate unasked;
    unasked.isFullState = true;
    unasked.toRevision = asking.revision + 9;
    asking.apply(StoreUpdateReceived {"127.0.0.1:7001", unasked});
    CHECK(asking.gateway.status(asking.now).targets == 39);
}
