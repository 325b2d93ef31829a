// An instance that starts admits no requests by a configuration that is older than the one that its
// fleet has in force.

#include "gateway_fleet.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

const std::string oldKey = "k-old";
const std::string newKey = "k-new";
const std::string member = "127.0.0.1:7001";
const std::string otherMember = "127.0.0.1:7002";

/// Version 4 lists the old key, later versions the new one.
RoutingConfig config(std::uint64_t version, const std::string &group = "g")
{
    RoutingConfig config = configOf({plainRoute("/p/", group, true)}, version);
    ClientAccount account;
    account.name = "acme";
    account.keys = {version <= 4 ? oldKey : newKey};
    config.accounts = {account};
    return config;
}

GatewaySettings restartedSettings()
{
    GatewaySettings settings = GatewayHarness::settingsOf({0.2, 60.0, std::chrono::seconds(10)});
    settings.firstStart = false;
    settings.seeds = {"10.0.0.8:1", "10.0.0.9:1"};
    return settings;
}

/// The history of a store that was restored from a copy once.
constexpr std::uint64_t restoredHistory = 2;

/// Answers the read of the store with configuration 4 and two members.
void readStore(GatewayHarness &harness, std::uint64_t history)
{
    StoreAnswer answer;
    answer.status = StoreCallStatus::Done;
    answer.history = history;
    answer.revision = 3;
    answer.changes = {GatewayHarness::configChange(config(4), 1),
                      GatewayHarness::targetChange(target("t", "g"), 2),
                      GatewayHarness::memberChange("b", member),
                      GatewayHarness::memberChange("c", otherMember)};
    REQUIRE(harness.answerStore<ReadStore>(answer));
}

void readOldCopy(GatewayHarness &harness)
{
    readStore(harness, restoredHistory);
}

StoreUpdateReceived fullState(std::uint64_t version)
{
    StoreUpdateReceived state {member, {0, 3, {}}};
    state.update.isFullState = true;
    state.update.history = restoredHistory;
    state.update.changes = {GatewayHarness::configChange(config(version), version),
                            GatewayHarness::targetChange(target("t", "g"), 2),
                            GatewayHarness::memberChange("b", member),
                            GatewayHarness::memberChange("c", otherMember)};
    return state;
}

LearnedStateReceived reportOf(const std::string &sender, std::uint64_t version)
{
    LearnedState state;
    state.configVersion = version;
    return {sender, state};
}

int statusWith(GatewayHarness &harness, const std::string &key)
{
    harness.accountKey = key;
    const std::size_t before = harness.started.size();
    const ExchangeId id = harness.sendRequest("/p/x");
    if (harness.started.size() > before) {
        harness.reply(harness.started.back().attempt, ReplyClass::Success);
    }
    REQUIRE(harness.answerOf(id));
    return harness.answerOf(id)->status;
}

/// Returns how often the harness asked a member for its state.
std::size_t stateRequestsTo(const GatewayHarness &harness, const std::string &address)
{
    std::size_t count = 0;
    for (const SendStoreUpdate &update : harness.updates) {
        const bool isReceiver =
                std::ranges::find(update.receivers, address) != update.receivers.end();
        count += update.update->isStateRequest && isReceiver ? 1 : 0;
    }
    return count;
}

std::size_t countLogs(const GatewayHarness &harness, LogEvent event)
{
    return static_cast<std::size_t>(std::ranges::count(harness.logs, event, &WriteLog::event));
}

} // namespace

// Guards against a removed key that is accepted because the store was restored from a copy.
TEST_CASE("confirmation: an older configuration of a restored store admits no request")
{
    GatewayHarness harness(restartedSettings());
    readOldCopy(harness);
    CHECK_FALSE(harness.gateway.isReady());
    CHECK(statusWith(harness, oldKey) == 503);
    harness.apply(reportOf(member, 5));
    harness.apply(reportOf(otherMember, 5));
    CHECK(statusWith(harness, oldKey) == 503);
    CHECK_FALSE(harness.gateway.isReady());
    CHECK(stateRequestsTo(harness, member) + stateRequestsTo(harness, otherMember) == 1);
    CHECK(countLogs(harness, LogEvent::ConfigBehind) == 1);
    harness.apply(fullState(5));
    CHECK(harness.gateway.isReady());
    CHECK(statusWith(harness, oldKey) == 401);
    CHECK(statusWith(harness, newKey) == 200);
}

// Guards against refusals by all instances that start together. A store that was never restored has
// the newest configuration that was acknowledged.
TEST_CASE("confirmation: what a store tells that was never restored needs no confirmation")
{
    for (const std::uint64_t history : {0U, 1U}) {
        GatewayHarness harness(restartedSettings());
        readStore(harness, history);
        CHECK(harness.gateway.isReady());
        CHECK(statusWith(harness, oldKey) == 200);
        // A member may still tell of a newer version.
        harness.apply(reportOf(member, 5));
        CHECK(statusWith(harness, oldKey) == 503);
    }
}

// Guards against the configuration of a stale seed while the store is down.
TEST_CASE("confirmation: the configuration of a stale seed admits no request while others reply")
{
    GatewayHarness harness(restartedSettings());
    StoreAnswer failed;
    failed.status = StoreCallStatus::Unavailable;
    REQUIRE(harness.answerStore<ReadStore>(failed));
    harness.apply(fullState(4));
    CHECK(statusWith(harness, oldKey) == 503);
    harness.apply(reportOf(member, 4));
    CHECK(statusWith(harness, oldKey) == 503);
    harness.apply(reportOf(otherMember, 6));
    CHECK(statusWith(harness, oldKey) == 503);
    CHECK(stateRequestsTo(harness, otherMember) == 1);
    harness.apply(fullState(6));
    CHECK(statusWith(harness, oldKey) == 401);
    CHECK(statusWith(harness, newKey) == 200);
}

TEST_CASE(
        "confirmation: a member that told of a newer configuration early is asked once another is "
        "known")
{
    GatewayHarness harness(restartedSettings());
    harness.apply(reportOf(member, 5));
    CHECK(stateRequestsTo(harness, member) == 0);
    readOldCopy(harness);
    CHECK(stateRequestsTo(harness, member) == 1);
    CHECK(statusWith(harness, oldKey) == 503);
}

// Guards against an instance that never serves because a member that is gone had a newer version.
TEST_CASE("confirmation: the wait for a newer configuration ends after a bounded time")
{
    GatewayHarness harness(restartedSettings());
    readOldCopy(harness);
    harness.apply(reportOf(member, 5));
    harness.apply(reportOf(otherMember, 5));
    harness.advance(milliseconds(1800));
    CHECK(statusWith(harness, oldKey) == 503);
    CHECK(stateRequestsTo(harness, member) == 2);
    CHECK(stateRequestsTo(harness, otherMember) == 2);
    harness.advance(milliseconds(400));
    CHECK(harness.gateway.isReady());
    CHECK(statusWith(harness, oldKey) == 200);
    CHECK(countLogs(harness, LogEvent::NewerConfigMissing) == 1);
    // The same version again starts no other wait, a newer one does.
    harness.apply(reportOf(member, 5));
    CHECK(statusWith(harness, oldKey) == 200);
    harness.apply(reportOf(member, 6));
    CHECK(statusWith(harness, oldKey) == 503);
}

TEST_CASE("confirmation: an instance to which nobody replies serves after a bounded time")
{
    GatewayHarness harness(restartedSettings());
    readOldCopy(harness);
    CHECK(statusWith(harness, oldKey) == 503);
    harness.advance(milliseconds(700));
    CHECK(harness.gateway.isReady());
    CHECK(statusWith(harness, oldKey) == 200);
}

// Guards against a wait in each restart while the fleet runs two versions of the program.
TEST_CASE("confirmation: replies of members that don't tell their version end the wait")
{
    GatewayHarness harness(restartedSettings());
    readOldCopy(harness);
    harness.apply(reportOf(member, 0));
    harness.apply(reportOf(otherMember, 0));
    CHECK(statusWith(harness, oldKey) == 200);
}

TEST_CASE("confirmation: nobody is waited for in the first start of a fleet, nor without members")
{
    GatewayHarness first(GatewayHarness::settingsOf({0.2, 60.0, std::chrono::seconds(10)}));
    readOldCopy(first);
    CHECK(statusWith(first, oldKey) == 200);
    GatewaySettings alone = restartedSettings();
    alone.seeds.clear();
    GatewayHarness harness(alone, config(4), {target("t", "g")});
    CHECK(statusWith(harness, oldKey) == 200);
}

// Guards against a member without accounts whose requests are admitted here by a removed key.
TEST_CASE("confirmation: no request of a member is admitted before the configuration is confirmed")
{
    GatewayHarness harness(restartedSettings());
    readOldCopy(harness);
    ForwardedRequest request;
    request.method = "GET";
    request.host = "h";
    request.path = "/p/x";
    request.requestId = "r";
    request.accountKey = oldKey;
    DelegatedRequest query;
    query.number = 1;
    query.request = std::make_shared<const ForwardedRequest>(request);
    query.sentAt = harness.now;
    query.objectiveLeft = milliseconds(100);
    query.timeLeft = milliseconds(900);
    query.minConfigVersion = 4;
    harness.apply(RequestDelegated {InstanceId("b"), member, query});
    CHECK(harness.started.empty());
    REQUIRE(harness.receipts.size() == 1);
    CHECK(harness.receipts[0].receipt.state == DelegationState::Outdated);
}

TEST_CASE("confirmation: an instance tells the version that it has in force")
{
    GatewayHarness harness(config(7), {target("t", "g")});
    harness.apply(LearnedStateRequested {member});
    REQUIRE(harness.learnedStates.size() == 1);
    CHECK(harness.learnedStates[0].state.configVersion == 7);
}

// Guards against a restarted instance that accepts a removed key although all others refuse it.
TEST_CASE("confirmation: restarted instances of a fleet never accept a key that the others refuse")
{
    FleetPlan plan;
    plan.instances = 6;
    plan.domains = 3;
    plan.shards = 1;
    plan.plainTargets = 6;
    plan.withCoordinators = false;
    GatewayFleet fleet(plan);
    fleet.writeStore(GatewayHarness::configChange(config(5, "plain"), 0));
    fleet.run(std::chrono::seconds(5));
    // The store's copy has the older version.
    fleet.writeStore(GatewayHarness::configChange(config(4, "plain"), 0));
    fleet.run(std::chrono::seconds(2));
    std::vector<std::uint64_t> withOldKey;
    for (const std::size_t instance : {0, 3, 5}) {
        fleet.restart(instance);
        for (int i = 0; i < 40; ++i) {
            fleet.accountKey = oldKey;
            withOldKey.push_back(fleet.sendPlainQuery(instance, "/p/x"));
            fleet.run(milliseconds(25));
        }
        fleet.accountKey = newKey;
        const std::uint64_t query = fleet.sendPlainQuery(instance, "/p/x");
        fleet.run(milliseconds(500));
        CHECK(fleet.answers.at(query).status == 200);
    }
    for (const std::uint64_t query : withOldKey) {
        CHECK(fleet.answers.at(query).status != 200);
    }
}
