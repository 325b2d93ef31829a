#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

GatewayHarness gatewayWithOneTarget()
{
    return GatewayHarness(configOf({plainRoute("/p/", "g", true)}, 5), {target("t", "g")});
}

StoreAnswer answerWith(StoreCallStatus status)
{
    StoreAnswer answer;
    answer.status = status;
    return answer;
}

void simulateStoreOutage(GatewayHarness &harness, Duration length)
{
    const Instant end = harness.now + length;
    while (harness.now < end) {
        harness.advance(milliseconds(100));
        while (harness.answerStore<WatchStore>(answerWith(StoreCallStatus::NoAnswer))) { }
    }
}

bool canServe(GatewayHarness &harness)
{
    const std::size_t before = harness.started.size();
    const ExchangeId id = harness.sendRequest("/p/x");
    if (harness.started.size() == before) {
        return false;
    }
    harness.reply(harness.started.back().attempt, ReplyClass::Success);
    return harness.answerOf(id)->status == 200;
}

} // namespace

TEST_CASE("a target that is leaving, removed or malformed gets no new requests")
{
    GatewayHarness harness = gatewayWithOneTarget();
    REQUIRE(canServe(harness));
    SECTION("leaving")
    {
        TargetRecord leaving = target("t", "g");
        leaving.leaving = true;
        harness.answerWatch({GatewayHarness::targetChange(leaving, 2)});
    }
    SECTION("removed")
    {
        harness.answerWatch({GatewayHarness::removal("t")});
    }
    SECTION("its entry can't be read")
    {
        StoreChange malformed = GatewayHarness::removal("t");
        malformed.removed = false;
        malformed.problem = "service: missing";
        harness.answerWatch({malformed});
    }
    CHECK_FALSE(canServe(harness));
}

TEST_CASE("a target may be removed while it still runs a request")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}, 5),
                           {target("a-target-with-a-name-of-some-length", "g")});
    harness.sendRequest("/p/x", std::chrono::seconds(30));
    const std::size_t first = harness.started.size() - 1;
    // If the target were freed too early, its name would be read from freed memory. The name is too
    // long to be stored inside the string object.
    harness.answerWatch({GatewayHarness::removal("a-target-with-a-name-of-some-length")});
    harness.sendRequest("/p/y");
    harness.apply(AttemptEnded {harness.started[first].attempt, AttemptEndKind::Lost});
    CHECK(harness.gateway.status(harness.now).attempts == 0);

    harness.answerWatch(
            {GatewayHarness::targetChange(target("another-target-with-a-long-name", "g"), 0)});
    const ExchangeId id = harness.sendRequest("/p/z");
    const AttemptId attempt = harness.started.back().attempt;
    StoreAnswer removalAnswer;
    removalAnswer.status = StoreCallStatus::Done;
    removalAnswer.revision = harness.revision + 1;
    removalAnswer.changes.push_back(GatewayHarness::removal("another-target-with-a-long-name"));
    removalAnswer.changes.back().revision = removalAnswer.revision;
    harness.advance(milliseconds(400));
    REQUIRE(harness.answerStore<WatchStore>(removalAnswer));
    harness.apply(AttemptEnded {attempt, AttemptEndKind::Lost});
    REQUIRE(harness.answerOf(id));
    bool logged = false;
    for (const WriteLog &log : harness.logs) {
        for (const LogField &field : log.fields) {
            logged = logged
                    || field.value.find("lost p0 another-target-with-a-long-name")
                            != std::string::npos;
        }
    }
    CHECK(logged);
}

TEST_CASE("the store is watched often enough to notice a leaving target within the reaction time")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.advance(milliseconds(1300));
    // The wait and the pause before the next call together stay below the 3 s within which requests
    // must stop going to a leaving target.
    REQUIRE(harness.calls.size() == 1);
    const auto *watch = std::get_if<WatchStore>(&harness.calls.front().call);
    REQUIRE(watch != nullptr);
    // A watch that gets no answer ends early enough for another member to call the store.
    CHECK(watch->wait + milliseconds(300) < milliseconds(3000));
    harness.answerStore<WatchStore>(answerWith(StoreCallStatus::Done));
    harness.advance(milliseconds(400));
    CHECK(harness.answerStore<WatchStore>(answerWith(StoreCallStatus::Done)));
}

TEST_CASE("targets whose entries expired during a store outage are kept until they can be "
          "registered again")
{
    GatewayHarness harness = gatewayWithOneTarget();
    simulateStoreOutage(harness, std::chrono::seconds(5));
    REQUIRE(canServe(harness));
    harness.answerWatch({GatewayHarness::removal("t")});
    CHECK(canServe(harness));
    SECTION("the target registers again")
    {
        harness.answerWatch({GatewayHarness::targetChange(target("t", "g"), 3)});
        harness.advance(std::chrono::seconds(4));
        CHECK(canServe(harness));
    }
    SECTION("the target does not register again")
    {
        harness.advance(milliseconds(2500));
        CHECK_FALSE(canServe(harness));
    }
}

TEST_CASE("when the watch revision is too old, everything is read again and missing targets are "
          "dropped")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.advance(milliseconds(1200));
    REQUIRE(harness.answerStore<WatchStore>(answerWith(StoreCallStatus::HistoryGone)));
    harness.answerRead(configOf({plainRoute("/p/", "g", true)}, 6), {target("u", "g")});
    REQUIRE(canServe(harness));
    CHECK(harness.started.back().target == TargetId("u"));
}

TEST_CASE("consecutive pages form one full read")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}));
    harness.advance(milliseconds(1200));
    REQUIRE(harness.answerStore<WatchStore>(answerWith(StoreCallStatus::HistoryGone)));
    StoreAnswer first = answerWith(StoreCallStatus::Done);
    first.changes.push_back(GatewayHarness::targetChange(target("t", "g"), 2));
    first.hasMore = true;
    first.lastKey = "k";
    REQUIRE(harness.answerStore<ReadStore>(first));
    REQUIRE(harness.calls.size() >= 1);
    const auto *next = std::get_if<ReadStore>(&harness.calls.back().call);
    REQUIRE(next != nullptr);
    CHECK(next->afterKey == "k");
    harness.answerRead(configOf({plainRoute("/p/", "g", true)}, 2), {target("u", "g")});
    CHECK(harness.gateway.status(harness.now).targets == 2);
}

TEST_CASE("an older version of the configuration is never adopted")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.answerWatch({GatewayHarness::configChange(configOf({}, 4), 7)});
    CHECK(harness.gateway.status(harness.now).configVersion == 5);
    harness.answerWatch({GatewayHarness::configChange(configOf({}, 9), 8)});
    CHECK(harness.gateway.status(harness.now).configVersion == 9);
}

TEST_CASE("a malformed configuration leaves the last one in force")
{
    GatewayHarness harness = gatewayWithOneTarget();
    StoreChange malformed;
    malformed.kind = StoreKeyKind::Config;
    malformed.problem = "not JSON";
    harness.answerWatch({malformed});
    CHECK(harness.gateway.status(harness.now).configVersion == 5);
    CHECK(canServe(harness));
}

TEST_CASE("a process that restarts under the same id counts as another target")
{
    GatewayHarness harness = gatewayWithOneTarget();
    for (int i = 0; i < 6; ++i) {
        const std::size_t before = harness.started.size();
        // Use different requests, as a request that loses every target is itself quarantined.
        harness.sendRequest("/p/x" + std::to_string(i));
        for (std::size_t at = before; at < harness.started.size(); ++at) {
            harness.apply(AttemptEnded {harness.started[at].attempt, AttemptEndKind::Lost});
        }
    }
    TargetRecord restarted = target("t", "g");
    restarted.startedAtMs = 2;
    harness.answerWatch({GatewayHarness::targetChange(restarted, 3)});
    CHECK(canServe(harness));
}

namespace {

StoreUpdateReceived updateFromMember(std::uint64_t from, std::uint64_t to,
                                     std::vector<StoreChange> changes)
{
    for (StoreChange &change : changes) {
        change.revision = to;
    }
    return {"127.0.0.1:9", {from, to, std::move(changes)}};
}

} // namespace

TEST_CASE("changes read from the store are sent to the other members, without heartbeats")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    harness.updates.clear();
    TargetRecord heartbeat = target("t", "g");
    heartbeat.warmupLeft = milliseconds(5);
    harness.answerWatch({GatewayHarness::targetChange(heartbeat, 0), GatewayHarness::removal("u")});
    REQUIRE(harness.updates.size() == 1);
    CHECK(harness.updates[0].receivers == std::vector<std::string> {"127.0.0.1:7001"});
    REQUIRE(harness.updates[0].update->changes.size() == 1);
    CHECK(harness.updates[0].update->changes[0].id == "u");
    CHECK(harness.updates[0].update->toRevision == harness.revision);
}

TEST_CASE("an entry that is registered again before its target was dropped is sent to the other "
          "members")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    simulateStoreOutage(harness, std::chrono::seconds(5));
    harness.answerWatch({GatewayHarness::removal("t")});
    REQUIRE(canServe(harness));
    harness.updates.clear();
    // This instance never dropped the target, but another member may have.
    harness.answerWatch({GatewayHarness::targetChange(target("t", "g"), 0)});
    REQUIRE(harness.updates.size() == 1);
    REQUIRE(harness.updates[0].update->changes.size() == 1);
    CHECK(harness.updates[0].update->changes[0].id == "t");
}

TEST_CASE("an update of a member is applied only when no change in between is missing")
{
    GatewayHarness harness = gatewayWithOneTarget();
    const std::uint64_t known = harness.revision;
    SECTION("nothing is missing")
    {
        harness.apply(updateFromMember(known, known + 1, {GatewayHarness::removal("t")}));
        CHECK_FALSE(canServe(harness));
    }
    SECTION("a change in between is missing")
    {
        harness.apply(updateFromMember(known + 1, known + 2, {GatewayHarness::removal("t")}));
        CHECK(canServe(harness));
    }
    SECTION("the update is older than the known state")
    {
        harness.apply(updateFromMember(known - 1, known, {GatewayHarness::removal("t")}));
        CHECK(canServe(harness));
    }
}

TEST_CASE("a member with a different digest at the same revision triggers a full read")
{
    GatewayHarness harness = gatewayWithOneTarget();
    StoreUpdateReceived received = updateFromMember(harness.revision, harness.revision, {});
    harness.calls.clear();
    received.update.digest = 12345;
    harness.apply(received);
    CHECK(harness.answerStore<ReadStore>(answerWith(StoreCallStatus::NoAnswer)));
}

TEST_CASE("members with equal digests trigger no full read")
{
    GatewayHarness first = gatewayWithOneTarget();
    first.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                       GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    first.updates.clear();
    first.answerWatch({});
    REQUIRE(first.updates.size() == 1);
    GatewayHarness second = gatewayWithOneTarget();
    second.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                        GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    second.answerWatch({});
    second.calls.clear();
    second.apply(StoreUpdateReceived {"127.0.0.1:7001", *first.updates[0].update});
    CHECK_FALSE(second.answerStore<ReadStore>(answerWith(StoreCallStatus::NoAnswer)));
}

TEST_CASE("a late answer of the store does not undo a newer update of a member")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.advance(milliseconds(400));
    const std::uint64_t known = harness.revision;
    harness.apply(updateFromMember(known, known + 5, {GatewayHarness::removal("t")}));
    StoreAnswer late = answerWith(StoreCallStatus::Done);
    late.revision = known + 2;
    late.changes.push_back(GatewayHarness::targetChange(target("t", "g"), known + 1));
    REQUIRE(harness.answerStore<WatchStore>(late));
    CHECK_FALSE(canServe(harness));
}

TEST_CASE("a later member leaves store calls to the first one and takes over when it is silent")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.answerWatch({GatewayHarness::memberChange("0", "127.0.0.1:7009"),
                         GatewayHarness::memberChange("a", "127.0.0.1:7000")});
    harness.calls.clear();
    for (int i = 0; i < 10; ++i) {
        harness.advance(milliseconds(1500));
        harness.apply(updateFromMember(harness.revision, harness.revision, {}));
    }
    CHECK_FALSE(harness.answerStore<WatchStore>(answerWith(StoreCallStatus::Done)));
    // The time from the last update to this member's own store call stays within the required 3 s.
    harness.advance(milliseconds(2300));
    CHECK(harness.answerStore<WatchStore>(answerWith(StoreCallStatus::Done)));
}

TEST_CASE("the last member calls the store early enough for a slow answer when the first ones are "
          "gone")
{
    GatewayHarness harness = gatewayWithOneTarget();
    harness.answerWatch({GatewayHarness::memberChange("0", "127.0.0.1:7009"),
                         GatewayHarness::memberChange("1", "127.0.0.1:7008"),
                         GatewayHarness::memberChange("2", "127.0.0.1:7007"),
                         GatewayHarness::memberChange("3", "127.0.0.1:7006"),
                         GatewayHarness::memberChange("a", "127.0.0.1:7000")});
    harness.calls.clear();
    harness.apply(updateFromMember(harness.revision, harness.revision, {}));
    // A quarter of the reaction time of 3 s is left for the answer and for relaying it.
    harness.advance(milliseconds(2250));
    CHECK(harness.answerStore<WatchStore>(answerWith(StoreCallStatus::Done)));
}

TEST_CASE("an instance without a configuration soon notices that the store is back")
{
    Gateway fresh(GatewayHarness::settingsOf({}));
    Instant now {std::chrono::seconds(1)};
    StoreOpId operation;
    Duration timeout {};
    const auto recordRead = [&](const std::vector<GatewayEffect> &effects) {
        bool readSent = false;
        for (const GatewayEffect &effect : effects) {
            const auto *call = std::get_if<CallStore>(&effect);
            if (call != nullptr && std::holds_alternative<ReadStore>(call->call)) {
                operation = call->operation;
                timeout = call->timeout;
                readSent = true;
            }
        }
        return readSent;
    };
    REQUIRE(recordRead(fresh.apply(GatewayStarted {}, now)));
    // However long the store does not answer, its return is noticed within a second.
    for (int i = 0; i < 20; ++i) {
        CHECK(timeout <= milliseconds(700));
        now += timeout;
        bool readSent = recordRead(
                fresh.apply(StoreAnswered {operation, answerWith(StoreCallStatus::NoAnswer)}, now));
        const Instant failedAt = now;
        while (!readSent && now < failedAt + milliseconds(300)) {
            now += milliseconds(10);
            readSent = recordRead(fresh.apply(TimerDue {}, now));
        }
        REQUIRE(readSent);
    }
}

TEST_CASE("an instance that can't reach the store gets the whole state from a member")
{
    Gateway fresh = Gateway([] {
        GatewaySettings settings = GatewayHarness::settingsOf({});
        settings.seeds = {"127.0.0.2:5000"};
        return settings;
    }());
    Instant now {std::chrono::seconds(1)};
    fresh.apply(GatewayStarted {}, now);
    now += milliseconds(400);
    std::vector<GatewayEffect> effects = fresh.apply(TimerDue {}, now);
    REQUIRE(effects.size() == 1);
    const auto &request = std::get<SendStoreUpdate>(effects[0]);
    // The settings contain the seed's control port; its peer port equals this instance's own.
    CHECK(request.receivers == std::vector<std::string> {"127.0.0.2:7000"});
    CHECK(request.update->isStateRequest);

    GatewayHarness harness = gatewayWithOneTarget();
    harness.apply(StoreUpdateReceived {"127.0.0.1:7000", *request.update});
    REQUIRE(harness.updates.size() == 1);
    CHECK(harness.updates[0].update->isFullState);
    fresh.apply(StoreUpdateReceived {"127.0.0.2:7000", *harness.updates[0].update}, now);
    CHECK(fresh.isReady());
    CHECK(fresh.status(now).targets == 1);
    CHECK(fresh.status(now).configVersion == 5);
}

TEST_CASE("a member relays an update to its children in the relay tree, once")
{
    GatewayHarness harness = gatewayWithOneTarget();
    std::vector<StoreChange> members {GatewayHarness::memberChange("0", "127.0.0.1:7100"),
                                      GatewayHarness::memberChange("a", "127.0.0.1:7000")};
    for (int i = 0; i < 12; ++i) {
        members.push_back(GatewayHarness::memberChange("b" + std::to_string(10 + i),
                                                       "127.0.0.1:72" + std::to_string(10 + i)));
    }
    harness.answerWatch(members);
    harness.updates.clear();
    StoreUpdateReceived received = updateFromMember(harness.revision, harness.revision + 1,
                                                    {GatewayHarness::removal("t")});
    received.update.origin = InstanceId("0");
    harness.apply(received);
    REQUIRE(harness.updates.size() == 1);
    // The origin sends the update to eight members; the first of them, this one, relays it to the
    // other five.
    CHECK(harness.updates[0].receivers.size() == 5);
    CHECK(harness.updates[0].update->origin == InstanceId("0"));
    CHECK(harness.updates[0].update->changes.size() == 1);
    harness.apply(received);
    CHECK(harness.updates.size() == 1);
}

TEST_CASE("changes that arrive in several updates are relayed once")
{
    GatewayHarness harness = gatewayWithOneTarget();
    std::vector<StoreChange> members {GatewayHarness::memberChange("0", "127.0.0.1:7100"),
                                      GatewayHarness::memberChange("1", "127.0.0.1:7101"),
                                      GatewayHarness::memberChange("a", "127.0.0.1:7000")};
    for (int i = 0; i < 12; ++i) {
        members.push_back(GatewayHarness::memberChange("b" + std::to_string(10 + i),
                                                       "127.0.0.1:72" + std::to_string(10 + i)));
    }
    harness.answerWatch(members);
    harness.updates.clear();
    const std::uint64_t known = harness.revision;
    StoreChange change = GatewayHarness::targetChange(target("u", "g"), known + 1);
    StoreUpdateReceived first = updateFromMember(known, known + 1, {change});
    first.update.origin = InstanceId("1");
    harness.apply(first);
    StoreUpdateReceived second = updateFromMember(known, known + 2, {change});
    second.update.origin = InstanceId("1");
    second.update.changes[0].revision = known + 1;
    harness.apply(second);
    REQUIRE(harness.updates.size() == 2);
    CHECK(harness.updates[0].update->changes.size() == 1);
    CHECK(harness.updates[1].update->changes.empty());
    CHECK(harness.updates[1].update->fromRevision == known + 1);
}
