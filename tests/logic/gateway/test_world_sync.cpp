#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

World gatewayWithOneTarget()
{
    return World(configOf({plainRoute("/p/", "g", true)}, 5), {target("t", "g")});
}

StoreAnswer answerWith(StoreVerdict status)
{
    StoreAnswer answer;
    answer.verdict = status;
    return answer;
}

void simulateStoreOutage(World &world, Duration length)
{
    const Instant end = world.now + length;
    while (world.now < end) {
        world.pass(milliseconds(100));
        while (world.answerStore<WatchWorld>(answerWith(StoreVerdict::NoAnswer))) { }
    }
}

bool canServe(World &world)
{
    const std::size_t before = world.started.size();
    const ExchangeId id = world.ask("/p/x");
    if (world.started.size() == before) {
        return false;
    }
    world.reply(world.started.back().attempt, ReplyClass::Success);
    return world.answerOf(id)->status == 200;
}

} // namespace

TEST_CASE("a target that is leaving, removed or malformed gets no new requests")
{
    World world = gatewayWithOneTarget();
    REQUIRE(canServe(world));
    SECTION("leaving")
    {
        TargetRecord leaving = target("t", "g");
        leaving.leaving = true;
        world.tell({World::targetChange(leaving, 2)});
    }
    SECTION("removed")
    {
        world.tell({World::removal("t")});
    }
    SECTION("its entry can't be read")
    {
        WorldChange malformed = World::removal("t");
        malformed.removed = false;
        malformed.problem = "service: missing";
        world.tell({malformed});
    }
    CHECK_FALSE(canServe(world));
}

TEST_CASE("a target may be removed while it still runs a request")
{
    World world(configOf({plainRoute("/p/", "g", true)}, 5),
                {target("a-target-with-a-name-of-some-length", "g")});
    world.ask("/p/x", std::chrono::seconds(30));
    const std::size_t first = world.started.size() - 1;
    // If the target were freed too early, its name would be read from freed memory. The name is too
    // long to be stored inside the string object.
    world.tell({World::removal("a-target-with-a-name-of-some-length")});
    world.ask("/p/y");
    world.apply(AttemptEnded {world.started[first].attempt, AttemptEndKind::Lost});
    CHECK(world.gateway.status(world.now).attempts == 0);

    world.tell({World::targetChange(target("another-target-with-a-long-name", "g"), 0)});
    const ExchangeId id = world.ask("/p/z");
    const AttemptId attempt = world.started.back().attempt;
    StoreAnswer gone;
    gone.verdict = StoreVerdict::Done;
    gone.revision = world.revision + 1;
    gone.changes.push_back(World::removal("another-target-with-a-long-name"));
    gone.changes.back().revision = gone.revision;
    world.pass(milliseconds(400));
    REQUIRE(world.answerStore<WatchWorld>(gone));
    world.apply(AttemptEnded {attempt, AttemptEndKind::Lost});
    REQUIRE(world.answerOf(id));
    bool logged = false;
    for (const WriteLog &log : world.logs) {
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
    World world = gatewayWithOneTarget();
    world.pass(milliseconds(1300));
    // The wait and the pause before the next call together stay below the 3 s within which requests
    // must stop going to a leaving target.
    REQUIRE(world.calls.size() == 1);
    const auto *watch = std::get_if<WatchWorld>(&world.calls.front().call);
    REQUIRE(watch != nullptr);
    // A watch that gets no answer ends early enough for another member to call the store.
    CHECK(watch->wait + milliseconds(300) < milliseconds(3000));
    world.answerStore<WatchWorld>(answerWith(StoreVerdict::Done));
    world.pass(milliseconds(400));
    CHECK(world.answerStore<WatchWorld>(answerWith(StoreVerdict::Done)));
}

TEST_CASE("targets whose entries expired during a store outage are kept until they can be "
          "registered again")
{
    World world = gatewayWithOneTarget();
    simulateStoreOutage(world, std::chrono::seconds(5));
    REQUIRE(canServe(world));
    world.tell({World::removal("t")});
    CHECK(canServe(world));
    SECTION("the target registers again")
    {
        world.tell({World::targetChange(target("t", "g"), 3)});
        world.pass(std::chrono::seconds(4));
        CHECK(canServe(world));
    }
    SECTION("the target does not register again")
    {
        world.pass(milliseconds(2500));
        CHECK_FALSE(canServe(world));
    }
}

TEST_CASE("when the watch revision is too old, everything is read again and missing targets are "
          "dropped")
{
    World world = gatewayWithOneTarget();
    world.pass(milliseconds(1200));
    REQUIRE(world.answerStore<WatchWorld>(answerWith(StoreVerdict::HistoryGone)));
    world.answerRead(configOf({plainRoute("/p/", "g", true)}, 6), {target("u", "g")});
    REQUIRE(canServe(world));
    CHECK(world.started.back().target == TargetId("u"));
}

TEST_CASE("consecutive pages form one full read")
{
    World world(configOf({plainRoute("/p/", "g", true)}));
    world.pass(milliseconds(1200));
    REQUIRE(world.answerStore<WatchWorld>(answerWith(StoreVerdict::HistoryGone)));
    StoreAnswer first = answerWith(StoreVerdict::Done);
    first.changes.push_back(World::targetChange(target("t", "g"), 2));
    first.more = true;
    first.lastKey = "k";
    REQUIRE(world.answerStore<ReadWorld>(first));
    REQUIRE(world.calls.size() >= 1);
    const auto *next = std::get_if<ReadWorld>(&world.calls.back().call);
    REQUIRE(next != nullptr);
    CHECK(next->after == "k");
    world.answerRead(configOf({plainRoute("/p/", "g", true)}, 2), {target("u", "g")});
    CHECK(world.gateway.status(world.now).targets == 2);
}

TEST_CASE("an older version of the configuration is never adopted")
{
    World world = gatewayWithOneTarget();
    world.tell({World::configChange(configOf({}, 4), 7)});
    CHECK(world.gateway.status(world.now).configVersion == 5);
    world.tell({World::configChange(configOf({}, 9), 8)});
    CHECK(world.gateway.status(world.now).configVersion == 9);
}

TEST_CASE("a malformed configuration leaves the last one in force")
{
    World world = gatewayWithOneTarget();
    WorldChange malformed;
    malformed.part = WorldPart::Config;
    malformed.problem = "not JSON";
    world.tell({malformed});
    CHECK(world.gateway.status(world.now).configVersion == 5);
    CHECK(canServe(world));
}

TEST_CASE("a process that restarts under the same id counts as another target")
{
    World world = gatewayWithOneTarget();
    for (int i = 0; i < 6; ++i) {
        const std::size_t before = world.started.size();
        // Use different requests, as a request that loses every target is itself quarantined.
        world.ask("/p/x" + std::to_string(i));
        for (std::size_t at = before; at < world.started.size(); ++at) {
            world.apply(AttemptEnded {world.started[at].attempt, AttemptEndKind::Lost});
        }
    }
    TargetRecord restarted = target("t", "g");
    restarted.startedAtMs = 2;
    world.tell({World::targetChange(restarted, 3)});
    CHECK(canServe(world));
}

namespace {

WorldNewsReceived updateFromMember(std::uint64_t from, std::uint64_t to,
                                   std::vector<WorldChange> changes)
{
    for (WorldChange &change : changes) {
        change.revision = to;
    }
    return {"127.0.0.1:9", {from, to, std::move(changes)}};
}

} // namespace

TEST_CASE("changes read from the store are sent to the other members, without heartbeats")
{
    World world = gatewayWithOneTarget();
    world.tell({World::memberChange("a", "127.0.0.1:7000"),
                World::memberChange("b", "127.0.0.1:7001")});
    world.told.clear();
    TargetRecord heartbeat = target("t", "g");
    heartbeat.warmupLeft = milliseconds(5);
    world.tell({World::targetChange(heartbeat, 0), World::removal("u")});
    REQUIRE(world.told.size() == 1);
    CHECK(world.told[0].receivers == std::vector<std::string> {"127.0.0.1:7001"});
    REQUIRE(world.told[0].news->changes.size() == 1);
    CHECK(world.told[0].news->changes[0].id == "u");
    CHECK(world.told[0].news->to == world.revision);
}

TEST_CASE("an entry that is registered again before its target was dropped is sent to the other "
          "members")
{
    World world = gatewayWithOneTarget();
    world.tell({World::memberChange("a", "127.0.0.1:7000"),
                World::memberChange("b", "127.0.0.1:7001")});
    simulateStoreOutage(world, std::chrono::seconds(5));
    world.tell({World::removal("t")});
    REQUIRE(canServe(world));
    world.told.clear();
    // This instance never dropped the target, but another member may have.
    world.tell({World::targetChange(target("t", "g"), 0)});
    REQUIRE(world.told.size() == 1);
    REQUIRE(world.told[0].news->changes.size() == 1);
    CHECK(world.told[0].news->changes[0].id == "t");
}

TEST_CASE("an update of a member is applied only when no change in between is missing")
{
    World world = gatewayWithOneTarget();
    const std::uint64_t known = world.revision;
    SECTION("nothing is missing")
    {
        world.apply(updateFromMember(known, known + 1, {World::removal("t")}));
        CHECK_FALSE(canServe(world));
    }
    SECTION("a change in between is missing")
    {
        world.apply(updateFromMember(known + 1, known + 2, {World::removal("t")}));
        CHECK(canServe(world));
    }
    SECTION("the update is older than the known state")
    {
        world.apply(updateFromMember(known - 1, known, {World::removal("t")}));
        CHECK(canServe(world));
    }
}

TEST_CASE("a member with a different digest at the same revision triggers a full read")
{
    World world = gatewayWithOneTarget();
    WorldNewsReceived received = updateFromMember(world.revision, world.revision, {});
    world.calls.clear();
    received.news.digest = 12345;
    world.apply(received);
    CHECK(world.answerStore<ReadWorld>(answerWith(StoreVerdict::NoAnswer)));
}

TEST_CASE("members with equal digests trigger no full read")
{
    World first = gatewayWithOneTarget();
    first.tell({World::memberChange("a", "127.0.0.1:7000"),
                World::memberChange("b", "127.0.0.1:7001")});
    first.told.clear();
    first.tell({});
    REQUIRE(first.told.size() == 1);
    World second = gatewayWithOneTarget();
    second.tell({World::memberChange("a", "127.0.0.1:7000"),
                 World::memberChange("b", "127.0.0.1:7001")});
    second.tell({});
    second.calls.clear();
    second.apply(WorldNewsReceived {"127.0.0.1:7001", *first.told[0].news});
    CHECK_FALSE(second.answerStore<ReadWorld>(answerWith(StoreVerdict::NoAnswer)));
}

TEST_CASE("a late answer of the store does not undo a newer update of a member")
{
    World world = gatewayWithOneTarget();
    world.pass(milliseconds(400));
    const std::uint64_t known = world.revision;
    world.apply(updateFromMember(known, known + 5, {World::removal("t")}));
    StoreAnswer late = answerWith(StoreVerdict::Done);
    late.revision = known + 2;
    late.changes.push_back(World::targetChange(target("t", "g"), known + 1));
    REQUIRE(world.answerStore<WatchWorld>(late));
    CHECK_FALSE(canServe(world));
}

TEST_CASE("a later member leaves store calls to the first one and takes over when it is silent")
{
    World world = gatewayWithOneTarget();
    world.tell({World::memberChange("0", "127.0.0.1:7009"),
                World::memberChange("a", "127.0.0.1:7000")});
    world.calls.clear();
    for (int i = 0; i < 10; ++i) {
        world.pass(milliseconds(1500));
        world.apply(updateFromMember(world.revision, world.revision, {}));
    }
    CHECK_FALSE(world.answerStore<WatchWorld>(answerWith(StoreVerdict::Done)));
    // The time from the last update to its own call stays within the reaction time of 3 s.
    world.pass(milliseconds(2300));
    CHECK(world.answerStore<WatchWorld>(answerWith(StoreVerdict::Done)));
}

TEST_CASE("the last member calls the store early enough for a slow answer when the first ones are "
          "gone")
{
    World world = gatewayWithOneTarget();
    world.tell(
            {World::memberChange("0", "127.0.0.1:7009"), World::memberChange("1", "127.0.0.1:7008"),
             World::memberChange("2", "127.0.0.1:7007"), World::memberChange("3", "127.0.0.1:7006"),
             World::memberChange("a", "127.0.0.1:7000")});
    world.calls.clear();
    world.apply(updateFromMember(world.revision, world.revision, {}));
    // A quarter of the reaction time of 3 s is left for the answer and for relaying it.
    world.pass(milliseconds(2250));
    CHECK(world.answerStore<WatchWorld>(answerWith(StoreVerdict::Done)));
}

TEST_CASE("an instance without a configuration soon notices that the store is back")
{
    Gateway fresh(World::settingsOf({}));
    Instant now {std::chrono::seconds(1)};
    StoreOpId operation;
    Duration timeout {};
    const auto recordRead = [&](const std::vector<GatewayEffect> &effects) {
        bool readSent = false;
        for (const GatewayEffect &effect : effects) {
            const auto *call = std::get_if<CallStore>(&effect);
            if (call != nullptr && std::holds_alternative<ReadWorld>(call->call)) {
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
                fresh.apply(StoreAnswered {operation, answerWith(StoreVerdict::NoAnswer)}, now));
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
        GatewaySettings settings = World::settingsOf({});
        settings.seeds = {"127.0.0.2:5000"};
        return settings;
    }());
    Instant now {std::chrono::seconds(1)};
    fresh.apply(GatewayStarted {}, now);
    now += milliseconds(400);
    std::vector<GatewayEffect> effects = fresh.apply(TimerDue {}, now);
    REQUIRE(effects.size() == 1);
    const auto &request = std::get<TellNews>(effects[0]);
    // The settings contain the seed's control port; its peer port equals this instance's own.
    CHECK(request.receivers == std::vector<std::string> {"127.0.0.2:7000"});
    CHECK(request.news->wants);

    World world = gatewayWithOneTarget();
    world.apply(WorldNewsReceived {"127.0.0.1:7000", *request.news});
    REQUIRE(world.told.size() == 1);
    CHECK(world.told[0].news->full);
    fresh.apply(WorldNewsReceived {"127.0.0.2:7000", *world.told[0].news}, now);
    CHECK(fresh.ready());
    CHECK(fresh.status(now).targets == 1);
    CHECK(fresh.status(now).configVersion == 5);
}

TEST_CASE("a member relays an update to its children in the relay tree, once")
{
    World world = gatewayWithOneTarget();
    std::vector<WorldChange> members {World::memberChange("0", "127.0.0.1:7100"),
                                      World::memberChange("a", "127.0.0.1:7000")};
    for (int i = 0; i < 12; ++i) {
        members.push_back(World::memberChange("b" + std::to_string(10 + i),
                                              "127.0.0.1:72" + std::to_string(10 + i)));
    }
    world.tell(members);
    world.told.clear();
    WorldNewsReceived received =
            updateFromMember(world.revision, world.revision + 1, {World::removal("t")});
    received.news.origin = InstanceId("0");
    world.apply(received);
    REQUIRE(world.told.size() == 1);
    // The origin sends the update to eight members; the first of them, this one, relays it to the
    // other five.
    CHECK(world.told[0].receivers.size() == 5);
    CHECK(world.told[0].news->origin == InstanceId("0"));
    CHECK(world.told[0].news->changes.size() == 1);
    world.apply(received);
    CHECK(world.told.size() == 1);
}

TEST_CASE("changes that arrive in several updates are relayed once")
{
    World world = gatewayWithOneTarget();
    std::vector<WorldChange> members {World::memberChange("0", "127.0.0.1:7100"),
                                      World::memberChange("1", "127.0.0.1:7101"),
                                      World::memberChange("a", "127.0.0.1:7000")};
    for (int i = 0; i < 12; ++i) {
        members.push_back(World::memberChange("b" + std::to_string(10 + i),
                                              "127.0.0.1:72" + std::to_string(10 + i)));
    }
    world.tell(members);
    world.told.clear();
    const std::uint64_t known = world.revision;
    WorldChange change = World::targetChange(target("u", "g"), known + 1);
    WorldNewsReceived first = updateFromMember(known, known + 1, {change});
    first.news.origin = InstanceId("1");
    world.apply(first);
    WorldNewsReceived second = updateFromMember(known, known + 2, {change});
    second.news.origin = InstanceId("1");
    second.news.changes[0].revision = known + 1;
    world.apply(second);
    REQUIRE(world.told.size() == 2);
    CHECK(world.told[0].news->changes.size() == 1);
    CHECK(world.told[1].news->changes.empty());
    CHECK(world.told[1].news->from == known + 1);
}
