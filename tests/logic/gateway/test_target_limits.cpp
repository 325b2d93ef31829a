// Loads on targets that limit the requests of the whole fleet, on a simulated clock.

#include "gateway_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;
using std::chrono::seconds;

namespace {

/// The sliding window over which the requests at a limited target are counted.
constexpr Duration window = seconds(4);
/// A target may get this many times its limit, and a few requests more, in each window.
constexpr double limitTolerance = 1.5;
constexpr double limitSlack = 5.0;

FleetPlan smallFleet()
{
    FleetPlan plan;
    plan.instances = 8;
    plan.domains = 3;
    plan.shards = 10;
    plan.withCoordinators = false;
    plan.workTime = milliseconds(10);
    plan.largeShare = plan.smallShare = 0.25;
    plan.pauseLength = Duration(0);
    plan.objective = milliseconds(100);
    plan.minimumCoverage = 0.89;
    return plan;
}

/// Returns the largest number of the times that lie in one window.
std::size_t maxInWindow(const std::vector<Instant> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Returns the largest number of requests that told instances sent to the target in a window.
std::size_t maxToldArrivals(const GatewayFleet &fleet, const std::string &target)
{
    std::vector<Instant> times;
    for (const FleetArrival &arrival : fleet.limitedArrivals.at(TargetId(target))) {
        if (arrival.wasTold) {
            times.push_back(arrival.at);
        }
    }
    return maxInWindow(times);
}

/// Returns the largest number of requests that all instances sent to the target in a window since
/// a time.
std::size_t maxArrivals(const GatewayFleet &fleet, const std::string &target, Instant since)
{
    std::vector<Instant> times;
    for (const FleetArrival &arrival : fleet.limitedArrivals.at(TargetId(target))) {
        if (arrival.at >= since) {
            times.push_back(arrival.at);
        }
    }
    return maxInWindow(times);
}

double allowedArrivals(double perSecond)
{
    return limitTolerance * perSecond * std::chrono::duration<double>(window).count() + limitSlack;
}

/// A fleet in which each instance meets each target of the plain group rarely.
FleetPlan sparseFleet()
{
    FleetPlan plan;
    plan.instances = 77;
    plan.shards = 3;
    plan.plainTargets = 15;
    plan.pauseLength = Duration(0);
    plan.workTime = milliseconds(90);
    plan.objective = milliseconds(400);
    return plan;
}

void limitPlainTargets(GatewayFleet &fleet, std::optional<double> perSecond)
{
    for (int i = 0; i < 15; ++i) {
        fleet.setLimit("p" + std::to_string(i), perSecond);
    }
}

/// Returns the requests that reached the target since a time, per second.
double arrivalsPerSecond(const GatewayFleet &fleet, const std::string &target, Instant since)
{
    const auto &arrivals = fleet.limitedArrivals.at(TargetId(target));
    const auto count = std::ranges::count_if(
            arrivals, [since](const FleetArrival &arrival) { return arrival.at >= since; });
    return static_cast<double>(count) / std::chrono::duration<double>(fleet.now - since).count();
}

/// Returns the fraction of the queries from one number on that were answered with the status.
double fractionWith(const GatewayFleet &fleet, int status, std::uint64_t first)
{
    std::size_t count = 0;
    for (std::uint64_t number = first; number <= fleet.queries; ++number) {
        const auto found = fleet.answers.find(number);
        count += found != fleet.answers.end() && found->second.status == status ? 1 : 0;
    }
    return static_cast<double>(count) / static_cast<double>(fleet.queries - first + 1);
}

void limitShard(GatewayFleet &fleet, const std::string &shard, std::optional<double> perSecond)
{
    for (const char *replica : {"-0", "-1", "-2"}) {
        fleet.setLimit("t" + shard + replica, perSecond);
    }
}

} // namespace

// Guards against targets in need that get more than the limit that they state.
TEST_CASE("hot spot: a limited target gets no more than it takes from the whole fleet")
{
    GatewayFleet fleet(smallFleet());
    fleet.sendQueries(160.0, seconds(2));
    fleet.setLimit("t0-0", 33.0);
    fleet.setLimit("t0-1", 22.0);
    fleet.sendQueries(160.0, seconds(10));
    CHECK(static_cast<double>(maxToldArrivals(fleet, "t0-0")) <= allowedArrivals(33.0));
    CHECK(static_cast<double>(maxToldArrivals(fleet, "t0-1")) <= allowedArrivals(22.0));
}

// Guards against a limit that is divided among all members where few coordinators send.
TEST_CASE("hot spot: a shard of a large fleet gets what its replicas take, and no more")
{
    FleetPlan plan;
    plan.pauseLength = Duration(0);
    GatewayFleet fleet(plan);
    fleet.sendQueries(90.0, seconds(2));
    limitShard(fleet, "0", 15.0);
    fleet.sendQueries(90.0, seconds(2));
    const Instant since = fleet.now;
    fleet.sendQueries(90.0, seconds(8));
    for (const char *replica : {"t0-0", "t0-1", "t0-2"}) {
        CHECK(static_cast<double>(maxToldArrivals(fleet, replica)) <= allowedArrivals(15.0));
        CHECK(arrivalsPerSecond(fleet, replica, since) >= 0.8 * 15.0);
    }
}

// Guards against instances that leave a part of the limit unused while callers are refused.
TEST_CASE("overload: the requests that limited replicas take are all used")
{
    GatewayFleet fleet(smallFleet());
    fleet.sendQueries(160.0, seconds(2));
    limitShard(fleet, "0", 25.0);
    fleet.sendQueries(160.0, seconds(2));
    const Instant since = fleet.now;
    fleet.sendQueries(160.0, seconds(8));
    for (const char *replica : {"t0-0", "t0-1", "t0-2"}) {
        CHECK(static_cast<double>(maxToldArrivals(fleet, replica)) <= allowedArrivals(25.0));
        CHECK(arrivalsPerSecond(fleet, replica, since) >= 0.9 * 25.0);
    }
}

// Guards against queries that run on some shards although another shard can't take them.
TEST_CASE("overload: what limited shards can't take is refused at once as not run")
{
    GatewayFleet fleet(smallFleet());
    fleet.sendQueries(160.0, seconds(2));
    limitShard(fleet, "0", 15.0);
    limitShard(fleet, "1", 15.0);
    fleet.sendQueries(160.0, seconds(2));
    const std::uint64_t first = fleet.queries + 1;
    fleet.sendQueries(160.0, seconds(6));
    fleet.run(seconds(2));
    Duration slowest {};
    std::size_t refusedWithAttempts = 0;
    for (std::uint64_t number = first; number <= fleet.queries; ++number) {
        if (const FleetAnswer &answer = fleet.answers.at(number); answer.status == 503) {
            slowest = std::max(slowest, answer.elapsed);
            refusedWithAttempts += fleet.runs.contains({"r" + std::to_string(number), "shard5"});
        }
    }
    // One shard may be missing, so each query needs the limit of at least one of the two.
    CHECK(fractionWith(fleet, 200, first) >= 0.9 * 45.0 / 160.0);
    CHECK(fractionWith(fleet, 200, first) + fractionWith(fleet, 503, first) >= 0.99);
    CHECK(refusedWithAttempts == 0);
    CHECK(slowest <= milliseconds(5));
}

// Guards against a limit that less urgent requests use up.
TEST_CASE("overload: more urgent queries go first to limited shards")
{
    GatewayFleet fleet(smallFleet());
    fleet.sendQueries(60.0, seconds(2));
    limitShard(fleet, "0", 15.0);
    limitShard(fleet, "1", 15.0);
    fleet.sendQueries(60.0, seconds(1));
    std::size_t served[2] = {0, 0};
    std::size_t asked[2] = {0, 0};
    for (int step = 0; step < 400; ++step) {
        const bool isUrgent = step % 2 == 0;
        const std::uint64_t first = fleet.queries + 1;
        fleet.sendQueries(80.0, milliseconds(20),
                          isUrgent ? GatewayFleet::urgent : GatewayFleet::gathered);
        for (std::uint64_t number = first; number <= fleet.queries; ++number) {
            ++asked[isUrgent];
        }
    }
    fleet.run(seconds(2));
    for (const auto &[number, answer] : fleet.answers) {
        if (answer.status == 200 && fleet.isUrgent(number)) {
            ++served[1];
        }
    }
    // 40 urgent queries a second are asked, and 45 to 90 can be served.
    CHECK(static_cast<double>(served[1]) >= 0.85 * static_cast<double>(asked[1]));
}

TEST_CASE("a target whose limit ends gets its former requests again")
{
    GatewayFleet fleet(smallFleet());
    fleet.sendQueries(160.0, seconds(2));
    limitShard(fleet, "0", 10.0);
    fleet.sendQueries(160.0, seconds(4));
    limitShard(fleet, "0", std::nullopt);
    fleet.sendQueries(160.0, seconds(1));
    const std::uint64_t first = fleet.queries + 1;
    fleet.sendQueries(160.0, seconds(2));
    fleet.run(seconds(1));
    std::size_t missing = 0;
    for (std::uint64_t number = first; number <= fleet.queries; ++number) {
        missing += fleet.answers.at(number).missing;
    }
    CHECK(missing <= (fleet.queries - first) / 50);
}

// Guards against shares that grow while instances come and go.
TEST_CASE("rolling restarts, pauses and losses of instances don't raise what a target gets")
{
    FleetPlan plan = smallFleet();
    plan.seed = GENERATE(1U, 2U, 3U, 4U);
    GatewayFleet fleet(plan);
    fleet.sendQueries(160.0, seconds(2));
    limitShard(fleet, "0", 25.0);
    for (std::size_t instance = 0; instance < 4; ++instance) {
        fleet.restart(instance);
        fleet.sendQueries(160.0, milliseconds(700));
        fleet.pause(instance + 4, milliseconds(900));
        fleet.sendQueries(160.0, milliseconds(700));
    }
    fleet.kill(7);
    fleet.sendQueries(160.0, seconds(4));
    for (const char *replica : {"t0-0", "t0-1", "t0-2"}) {
        CHECK(static_cast<double>(maxToldArrivals(fleet, replica)) <= allowedArrivals(25.0));
    }
}

// Guards against a limit that only those instances keep that have met the target themselves.
TEST_CASE("many instances that meet a target rarely keep to its limit together")
{
    GatewayFleet fleet(sparseFleet());
    fleet.sendQueries(24.0, seconds(5), GatewayFleet::plain);
    limitPlainTargets(fleet, 0.8);
    fleet.sendQueries(24.0, seconds(3), GatewayFleet::plain);
    const Instant since = fleet.now;
    fleet.sendQueries(24.0, seconds(30), GatewayFleet::plain);
    for (int i = 0; i < 15; ++i) {
        CHECK(static_cast<double>(maxArrivals(fleet, "p" + std::to_string(i), since))
              <= allowedArrivals(0.8));
    }
}

// Guards against a process that sends as before until each limited target has refused it.
TEST_CASE("a restarted instance hears of a limit from the other members")
{
    GatewayFleet fleet(smallFleet());
    fleet.sendQueries(160.0, seconds(2));
    fleet.setLimit("t0-0", 33.0);
    fleet.sendQueries(160.0, seconds(2));
    fleet.restart(3);
    fleet.sendQueriesExcept(3, 160.0, milliseconds(1500));
    CHECK(fleet.gateway(3).status(fleet.now).limitedTargets == 1);
}

// Guards against a limit of which most instances have no share.
TEST_CASE("overload: many instances use all of limits that are too small to divide")
{
    GatewayFleet fleet(sparseFleet());
    fleet.sendQueries(24.0, seconds(5), GatewayFleet::plain);
    limitPlainTargets(fleet, 0.8);
    fleet.sendQueries(24.0, seconds(5), GatewayFleet::plain);
    const Instant since = fleet.now;
    fleet.sendQueries(24.0, seconds(20), GatewayFleet::plain);
    double perSecond = 0.0;
    for (int i = 0; i < 15; ++i) {
        const std::string target = "p" + std::to_string(i);
        CHECK(static_cast<double>(maxArrivals(fleet, target, since)) <= allowedArrivals(0.8));
        perSecond += arrivalsPerSecond(fleet, target, since);
    }
    CHECK(perSecond >= 0.85 * 15 * 0.8);
}

// Guards against shares that lie unused at instances without callers.
TEST_CASE("uneven callers: an instance with all the load uses the shares of the others")
{
    FleetPlan plan = smallFleet();
    plan.plainTargets = 1;
    GatewayFleet fleet(plan);
    fleet.setLimit("p0", 20.0);
    for (int i = 0; i < 60; ++i) {
        fleet.sendQuery(0, GatewayFleet::plain);
        fleet.run(milliseconds(50));
    }
    const std::uint64_t first = fleet.queries + 1;
    for (int i = 0; i < 200; ++i) {
        fleet.sendQuery(0, GatewayFleet::plain);
        fleet.run(milliseconds(60));
    }
    fleet.run(seconds(2));
    CHECK(static_cast<double>(maxToldArrivals(fleet, "p0")) <= allowedArrivals(20.0));
    CHECK(fractionWith(fleet, 200, first) >= 0.9);
}

// Guards against the one replica without a limit that gets all the load until it falls over.
TEST_CASE("hot spot: limited replicas with requests left go before a slow one without a limit")
{
    FleetPlan plan = smallFleet();
    plan.plainTargets = 4;
    GatewayFleet fleet(plan);
    fleet.setSlowness("p0", 6.0);
    for (const char *limited : {"p1", "p2", "p3"}) {
        fleet.setLimit(limited, 8.0);
    }
    const auto sendAtOneInstance = [&fleet](int count) {
        for (int i = 0; i < count; ++i) {
            fleet.sendQuery(0, GatewayFleet::plain);
            fleet.run(milliseconds(50));
        }
    };
    sendAtOneInstance(60);
    const std::uint64_t first = fleet.queries + 1;
    sendAtOneInstance(200);
    fleet.run(seconds(1));
    std::size_t fast = 0;
    for (std::uint64_t number = first; number <= fleet.queries; ++number) {
        fast += fleet.answers.at(number).elapsed < milliseconds(40);
    }
    CHECK(fast >= 160);
    for (const char *limited : {"p1", "p2", "p3"}) {
        CHECK(static_cast<double>(maxToldArrivals(fleet, limited)) <= allowedArrivals(8.0));
    }
}

TEST_CASE("the end of a limit reaches the instances that don't send to the target")
{
    GatewayFleet fleet(sparseFleet());
    fleet.sendQueries(24.0, seconds(5), GatewayFleet::plain);
    limitPlainTargets(fleet, 0.8);
    fleet.sendQueries(24.0, seconds(10), GatewayFleet::plain);
    limitPlainTargets(fleet, std::nullopt);
    fleet.sendQueries(24.0, seconds(8), GatewayFleet::plain);
    std::size_t limited = 0;
    for (std::size_t i = 0; i < 77; ++i) {
        limited += fleet.gateway(i).status(fleet.now).limitedTargets;
    }
    CHECK(limited == 0);
}

namespace {

/// A gateway with one target that serves two routes of different priority.
GatewayHarness singleTarget()
{
    Route urgent = plainRoute("/urgent/", "g", true);
    Route other = plainRoute("/other/", "g", true);
    urgent.priority = 1;
    other.priority = 2;
    return GatewayHarness(configOf({urgent, other}), {target("t0", "g")});
}

void replyWithLimit(GatewayHarness &harness, std::optional<double> perSecond,
                    ReplyClass kind = ReplyClass::Success, bool otherInstance = false)
{
    auto reply = std::make_shared<ForwardedReply>();
    reply->kind = kind;
    reply->status = 200;
    reply->signature = "s";
    reply->requestLimit = perSecond;
    reply->otherInstance = otherInstance;
    harness.apply(AttemptReplied {harness.started.back().attempt, std::move(reply)});
}

} // namespace

TEST_CASE("a request beyond the limit is refused as not run, with a delay by its urgency")
{
    GatewayHarness harness = singleTarget();
    harness.sendRequest("/urgent/x");
    replyWithLimit(harness, 2.0);
    Duration delays[2] = {};
    constexpr int requests = 50;
    for (int i = 0; i < requests; ++i) {
        for (const bool isUrgent : {true, false}) {
            const ExchangeId id = harness.sendRequest(isUrgent ? "/urgent/x" : "/other/x");
            REQUIRE(harness.answerOf(id));
            REQUIRE(harness.answerOf(id)->status == 503);
            const Duration delay = harness.answerOf(id)->retryAfter;
            CHECK(delay >= milliseconds(isUrgent ? 250 : 500));
            CHECK(delay <= milliseconds(isUrgent ? 750 : 1500));
            delays[isUrgent] += delay;
        }
    }
    CHECK(harness.started.size() == 1);
    CHECK(delays[true] < delays[false]);
}

TEST_CASE("only the target's own reply without a limit ends it")
{
    GatewayHarness harness = singleTarget();
    harness.sendRequest("/urgent/x");
    harness.sendRequest("/urgent/x");
    harness.sendRequest("/urgent/x");
    REQUIRE(harness.started.size() == 3);
    replyWithLimit(harness, 1.0);
    const auto isLimited = [&harness] {
        return harness.gateway.status(harness.now).limitedTargets == 1;
    };
    CHECK(isLimited());
    harness.started.pop_back();
    SECTION("a refusal of another process says nothing")
    {
        replyWithLimit(harness, std::nullopt, ReplyClass::NotRun, true);
        CHECK(isLimited());
    }
    SECTION("bytes without a signature say nothing")
    {
        replyWithLimit(harness, std::nullopt, ReplyClass::Unusable);
        CHECK(isLimited());
    }
    SECTION("a signed failure ends it")
    {
        replyWithLimit(harness, std::nullopt, ReplyClass::Failure);
        CHECK_FALSE(isLimited());
    }
}

TEST_CASE("a new process of a target has no limit")
{
    GatewayHarness harness = singleTarget();
    harness.sendRequest("/urgent/x");
    replyWithLimit(harness, 1.0);
    TargetRecord restarted = target("t0", "g");
    restarted.startedAtMs = 2;
    harness.answerWatch({GatewayHarness::targetChange(restarted, 1)});
    CHECK(harness.gateway.status(harness.now).limitedTargets == 0);
}

// Guards against a loan that counts twice because its message arrives twice.
TEST_CASE("a loan is used once, and only if it was requested")
{
    GatewayHarness harness = singleTarget();
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    harness.sendRequest("/urgent/x");
    replyWithLimit(harness, 2.0);
    harness.limitRequests.clear();
    while (harness.limitRequests.empty()) {
        harness.sendRequest("/urgent/x");
    }
    const std::size_t before = harness.started.size();
    const ExchangeId waiting(harness.lastExchange);
    CHECK_FALSE(harness.answerOf(waiting));
    const LimitLent loan {harness.limitRequests[0].number, {{TargetId("t0"), 1}}, seconds(1)};
    harness.apply(LimitLent {loan.number + 1000, loan.lent, loan.validFor});
    CHECK(harness.started.size() == before);
    harness.apply(loan);
    CHECK(harness.started.size() == before + 1);
    harness.apply(loan);
    harness.sendRequest("/urgent/x");
    CHECK(harness.started.size() == before + 1);
}

TEST_CASE("a request is refused when no member lends in time")
{
    GatewayHarness harness = singleTarget();
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    harness.sendRequest("/urgent/x");
    replyWithLimit(harness, 2.0);
    while (harness.limitRequests.empty()) {
        harness.sendRequest("/urgent/x");
    }
    const ExchangeId waiting(harness.lastExchange);
    SECTION("the member refuses")
    {
        harness.apply(LimitLent {
                harness.limitRequests[0].number, {{TargetId("t0"), 0}}, milliseconds(500)});
    }
    SECTION("the member does not reply")
    {
        harness.advance(milliseconds(26));
    }
    REQUIRE(harness.answerOf(waiting));
    CHECK(harness.answerOf(waiting)->status == 503);
}

// Guards against an instance that takes the few members that have registered again, after all
// registrations expired, for the whole fleet.
TEST_CASE("shares don't grow while the registrations of all other members have expired")
{
    GatewayHarness harness = singleTarget();
    std::vector<StoreChange> registrations;
    std::vector<StoreChange> removals;
    for (const char *id : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        registrations.push_back(GatewayHarness::memberChange(id, "127.0.0.1:1"));
        removals.push_back(registrations.back());
        removals.back().removed = true;
        removals.back().content = std::monostate();
    }
    removals.front() = registrations.front();
    harness.answerWatch(registrations);
    harness.sendRequest("/urgent/x");
    replyWithLimit(harness, 16.0);
    harness.advance(seconds(2));
    harness.answerWatch(removals);
    const std::size_t before = harness.started.size();
    for (int i = 0; i < 200; ++i) {
        harness.sendRequest("/urgent/x");
        if (harness.started.size() > before) {
            replyWithLimit(harness, 16.0);
        }
        harness.advance(milliseconds(20));
    }
    // An eighth of 16 requests a second for 4 s, and what the bucket held.
    CHECK(harness.started.size() - before <= 8 + 3);
}
