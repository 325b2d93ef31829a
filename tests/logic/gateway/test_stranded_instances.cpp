// Instances that are cut off from all targets, while callers, the store and the other members reach
// them.

#include "gateway_fleet.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

/// The time after which instances that are cut off must serve callers like the others.
constexpr Duration reactionTime = std::chrono::seconds(4);
constexpr double gatheredPerSecond = 120.0;
constexpr double plainPerSecond = 40.0;

FleetPlan smallFleet()
{
    FleetPlan plan;
    plan.instances = 8;
    plan.domains = 3;
    plan.replicaDomains = 3;
    plan.shards = 10;
    plan.plainTargets = 16;
    plan.largeShare = 0.25;
    plan.smallShare = 0.25;
    plan.minimumCoverage = 0.89;
    plan.objective = milliseconds(100);
    plan.workTime = milliseconds(11);
    plan.connectionAge = milliseconds(1500);
    return plan;
}

/// The fraction of the queries that were served, at some instances and in some time.
double servedFraction(const GatewayFleet &fleet, const std::set<std::size_t> &instances,
                      Instant from, Instant to)
{
    std::size_t queries = 0;
    std::size_t served = 0;
    for (std::uint64_t query = 1; query <= fleet.queries; ++query) {
        const Instant sentAt = fleet.sentTimeOf(query);
        if (!instances.contains(fleet.receiverOf(query)) || sentAt < from || sentAt >= to) {
            continue;
        }
        const auto answer = fleet.answers.find(query);
        ++queries;
        served += answer != fleet.answers.end() && answer->second.status == 200 ? 1 : 0;
    }
    REQUIRE(queries > 20);
    return static_cast<double>(served) / static_cast<double>(queries);
}

void sendMixed(GatewayFleet &fleet, Duration duration)
{
    for (Duration elapsed {}; elapsed < duration; elapsed += milliseconds(500)) {
        fleet.sendQueries(plainPerSecond, milliseconds(250), GatewayFleet::plain);
        fleet.sendQueries(gatheredPerSecond, milliseconds(250));
    }
}

} // namespace

// Guards against callers who are served far worse at instances that have lost their links to all
// targets than at the others.
TEST_CASE("partition: instances that are cut off from all targets serve their callers like the "
          "others")
{
    const PathCut how = GENERATE(PathCut::Silent, PathCut::Reset, PathCut::Refused);
    const auto isCut = GENERATE(as<std::set<std::size_t>> {}, std::set<std::size_t> {0, 1, 2, 4, 7},
                                std::set<std::size_t> {0, 3, 6});
    GatewayFleet fleet(smallFleet());
    sendMixed(fleet, std::chrono::seconds(5));
    const Instant cutAt = fleet.now;
    std::set<std::size_t> others;
    for (std::size_t instance = 0; instance < 8; ++instance) {
        if (isCut.contains(instance)) {
            fleet.cut(instance, how);
        } else {
            others.insert(instance);
        }
    }
    sendMixed(fleet, std::chrono::seconds(10));
    const Instant endAt = fleet.now;
    fleet.run(std::chrono::seconds(2));
    const double atCut = servedFraction(fleet, isCut, cutAt + reactionTime, endAt);
    const double atOthers = servedFraction(fleet, others, cutAt + reactionTime, endAt);
    INFO("served at instances that are cut off " << atCut << ", at others " << atOthers);
    CHECK(atCut >= atOthers * 2.0 / 3.0);
}

TEST_CASE("partition: no request runs too often, whether its instance is cut off or helps")
{
    FleetPlan plan = smallFleet();
    plan.isPlainIdempotent = false;
    const PathCut how = GENERATE(PathCut::Silent, PathCut::Reset, PathCut::Refused);
    GatewayFleet fleet(plan);
    sendMixed(fleet, std::chrono::seconds(3));
    for (int round = 0; round < 6; ++round) {
        for (const std::size_t instance : {0, 1, 2, 4, 7}) {
            fleet.cut(instance, round % 2 == 0 ? how : PathCut::None);
        }
        sendMixed(fleet, std::chrono::seconds(2));
    }
    fleet.run(std::chrono::seconds(2));
    for (const auto &[part, runs] : fleet.runs) {
        CHECK(runs <= (part.second == "plain" ? 1 : plan.attempts));
    }
    CHECK(fleet.answers.size() == fleet.queries);
}

TEST_CASE("flapping: callers of instances whose path comes and goes are served like the others")
{
    const PathCut how = GENERATE(PathCut::Silent, PathCut::Reset, PathCut::Refused);
    GatewayFleet fleet(smallFleet());
    sendMixed(fleet, std::chrono::seconds(3));
    const Instant beganAt = fleet.now;
    const std::set<std::size_t> flapping {0, 1, 2, 4, 7};
    for (int round = 0; round < 10; ++round) {
        for (const std::size_t instance : flapping) {
            fleet.cut(instance, round % 2 == 0 ? how : PathCut::None);
        }
        sendMixed(fleet, std::chrono::seconds(1));
    }
    const Instant endAt = fleet.now;
    fleet.run(std::chrono::seconds(2));
    const double atFlapping = servedFraction(fleet, flapping, beganAt, endAt);
    const double atOthers = servedFraction(fleet, {3, 5, 6}, beganAt, endAt);
    INFO("served at flapping instances " << atFlapping << ", at others " << atOthers);
    CHECK(atFlapping >= atOthers * 2.0 / 3.0);
}

TEST_CASE("partition: if no instance reaches a target, requests are refused at once")
{
    GatewayFleet fleet(smallFleet());
    sendMixed(fleet, std::chrono::seconds(3));
    for (std::size_t instance = 0; instance < 8; ++instance) {
        fleet.cut(instance, PathCut::Silent);
    }
    const Instant cutAt = fleet.now;
    sendMixed(fleet, std::chrono::seconds(8));
    const Instant endAt = fleet.now;
    for (std::size_t instance = 0; instance < 8; ++instance) {
        fleet.cut(instance, PathCut::None);
    }
    sendMixed(fleet, std::chrono::seconds(4));
    fleet.run(std::chrono::seconds(2));
    CHECK(fleet.answers.size() == fleet.queries);
    std::size_t held = 0;
    for (const auto &[query, answer] : fleet.answers) {
        const Instant sentAt = fleet.sentTimeOf(query);
        if (sentAt < cutAt + reactionTime || sentAt >= endAt - std::chrono::seconds(1)) {
            continue;
        }
        CHECK(answer.status == 503);
        CHECK(answer.retryAfter > Duration(0));
        held += answer.elapsed > milliseconds(60) ? 1 : 0;
    }
    CHECK(held == 0);
    std::set<std::size_t> all {0, 1, 2, 3, 4, 5, 6, 7};
    CHECK(servedFraction(fleet, all, endAt + std::chrono::seconds(2), fleet.now) > 0.95);
}

TEST_CASE("partition: helpers go on serving their own callers")
{
    FleetPlan plan = smallFleet();
    // The helpers' own capacity is scarce.
    plan.largeShare = plan.smallShare = 0.06;
    plan.processorTime = std::chrono::microseconds(2);
    GatewayFleet fleet(plan);
    sendMixed(fleet, std::chrono::seconds(3));
    for (const std::size_t instance : {0, 1, 2, 4, 7}) {
        fleet.cut(instance, PathCut::Silent);
    }
    const Instant cutAt = fleet.now;
    sendMixed(fleet, std::chrono::seconds(8));
    const Instant endAt = fleet.now;
    fleet.run(std::chrono::seconds(2));
    CHECK(servedFraction(fleet, {3, 5, 6}, cutAt, endAt) > 0.99);
    // What nobody can take is refused rather than held.
    for (const auto &[query, answer] : fleet.answers) {
        if (fleet.sentTimeOf(query) >= cutAt + reactionTime && answer.status != 200) {
            CHECK(answer.status == 503);
            CHECK(answer.elapsed < plan.objective);
        }
    }
}

namespace {

/// A gateway with two other members whose own path to the targets is broken.
class StrandedGateway
{
public:
    explicit StrandedGateway(bool idempotent = true)
        : harness(configOf({plainRoute("/p/", "g", idempotent)}, 5),
                  {target("t", "g"), target("u", "g"), target("v", "g"), target("w", "g")})
    {
        this->harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                                   GatewayHarness::memberChange("b", "10.0.0.2:1"),
                                   GatewayHarness::memberChange("c", "10.0.0.3:1")});
        this->harness.calls.clear();
    }

    /// Lets all attempts of a request and the probes that follow find no connection.
    void breakPath()
    {
        this->harness.sendRequest("/p/first");
        this->failAttempts(0);
        for (const ProbePath &probe : std::exchange(this->harness.probes, {})) {
            this->harness.apply(PathProbed {probe.number, false});
        }
        this->harness.advance(milliseconds(1));
    }

    void failAttempts(std::size_t from)
    {
        for (std::size_t at = from; at < this->harness.started.size(); ++at) {
            this->harness.apply(
                    AttemptEnded {this->harness.started[at].attempt, AttemptEndKind::Unreachable});
        }
    }

    void offer(const std::string &member, DelegationState state = DelegationState::Accepted)
    {
        this->harness.apply(
                OfferReceived {InstanceId(member),
                               {this->harness.inquiries.back().inquiry.number, state, Instant()}});
    }

    GatewayHarness harness;
};

} // namespace

TEST_CASE("a request for which no connection could be made is left to another member")
{
    StrandedGateway stranded(false);
    stranded.breakPath();
    REQUIRE(stranded.harness.inquiries.size() == 2);
    CHECK(stranded.harness.answers.empty());
    stranded.offer("b");
    REQUIRE(stranded.harness.delegated.size() == 1);
    // The other offer comes too late.
    stranded.offer("c");
    CHECK(stranded.harness.delegated.size() == 1);

    DelegatedAnswer answer;
    answer.number = stranded.harness.delegated[0].query.number;
    answer.requestId = stranded.harness.delegated[0].query.request->requestId;
    auto forwarded = std::make_shared<ForwardedReply>();
    forwarded->status = 200;
    forwarded->fields = {{"X", "y"}};
    forwarded->body = "body";
    answer.reply.status = 200;
    answer.reply.forwarded = forwarded;
    stranded.harness.apply(DelegatedAnswerReceived {InstanceId("b"), answer});
    const auto reply = stranded.harness.answerOf(ExchangeId(1));
    REQUIRE(reply);
    CHECK(reply->forwarded->body == "body");
    CHECK(reply->forwarded->fields == forwarded->fields);
}

// Guards against running a request twice that may run only once.
TEST_CASE("a request that was sent to a member is not served in another way when that falls silent")
{
    StrandedGateway stranded(false);
    stranded.breakPath();
    stranded.offer("b");
    const std::size_t started = stranded.harness.started.size();
    stranded.harness.advance(std::chrono::seconds(3));
    CHECK(stranded.harness.delegated.size() == 1);
    CHECK(stranded.harness.started.size() == started);
    const auto reply = stranded.harness.answerOf(ExchangeId(1));
    REQUIRE(reply);
    CHECK(reply->status == 502);
}

TEST_CASE("a member that declines is replaced by the next one, also after it had offered")
{
    StrandedGateway stranded;
    stranded.breakPath();
    REQUIRE(stranded.harness.inquiries.size() == 2);
    SECTION("in its offer")
    {
        stranded.offer("b", DelegationState::Unreachable);
        stranded.offer("c");
        CHECK(stranded.harness.delegated.size() == 1);
        CHECK(stranded.harness.delegated[0].receiver == "10.0.0.3:1");
    }
    SECTION("after it got the request")
    {
        stranded.offer("b");
        const std::uint64_t number = stranded.harness.delegated.at(0).query.number;
        stranded.harness.apply(
                ReceiptReceived {InstanceId("b"), {number, DelegationState::Unreachable}});
        // Nobody else is left, so the request is refused: it has not run.
        const auto reply = stranded.harness.answerOf(ExchangeId(1));
        REQUIRE(reply);
        CHECK(reply->status == 503);
    }
}

TEST_CASE("a request that no member takes is refused at once and not sent")
{
    StrandedGateway stranded;
    stranded.breakPath();
    stranded.offer("b", DelegationState::Unreachable);
    stranded.offer("c", DelegationState::Busy);
    const std::size_t started = stranded.harness.started.size();
    const ExchangeId second = stranded.harness.sendRequest("/p/second");
    const auto reply = stranded.harness.answerOf(second);
    REQUIRE(reply);
    CHECK(reply->status == 503);
    CHECK(reply->retryAfter > Duration(0));
    CHECK(stranded.harness.started.size() == started);
}

TEST_CASE("an offer that comes late is used if there is no other")
{
    StrandedGateway stranded;
    stranded.breakPath();
    stranded.harness.advance(milliseconds(30));
    CHECK(stranded.harness.answers.empty());
    stranded.offer("c");
    CHECK(stranded.harness.delegated.size() == 1);
}

// Guards against running a request twice that may run only once.
TEST_CASE("a request that may have run waits for its reply when the path breaks")
{
    StrandedGateway stranded(false);
    const ExchangeId waiting = stranded.harness.sendRequest("/p/waiting");
    const AttemptId attempt = stranded.harness.started.back().attempt;
    const std::size_t before = stranded.harness.started.size();
    stranded.harness.sendRequest("/p/other");
    stranded.failAttempts(before);
    for (const ProbePath &probe : std::exchange(stranded.harness.probes, {})) {
        stranded.harness.apply(PathProbed {probe.number, false});
    }
    stranded.harness.advance(milliseconds(1));
    CHECK_FALSE(stranded.harness.answerOf(waiting));
    stranded.harness.reply(attempt, ReplyClass::Success);
    const auto reply = stranded.harness.answerOf(waiting);
    REQUIRE(reply);
    CHECK(reply->status == 200);
}

TEST_CASE("a request that may run again is ended when the path breaks, so that its caller can go "
          "elsewhere")
{
    StrandedGateway stranded;
    const ExchangeId waiting = stranded.harness.sendRequest("/p/waiting");
    const std::size_t before = stranded.harness.started.size();
    stranded.harness.sendRequest("/p/other");
    stranded.failAttempts(before);
    for (const ProbePath &probe : std::exchange(stranded.harness.probes, {})) {
        stranded.harness.apply(PathProbed {probe.number, false});
    }
    stranded.harness.advance(milliseconds(1));
    const auto reply = stranded.harness.answerOf(waiting);
    REQUIRE(reply);
    CHECK(reply->status == 502);
}

TEST_CASE("a request of another member is given back when this instance turns out to be cut off")
{
    StrandedGateway stranded;
    stranded.breakPath();
    stranded.harness.apply(InquiryReceived {InstanceId("b"), "10.0.0.2:1", {77, 5}});
    const std::size_t started = stranded.harness.started.size();
    ForwardedRequest request;
    request.method = "GET";
    request.host = "h";
    request.path = "/p/x";
    request.requestId = "r";
    DelegatedRequest query;
    query.number = 77;
    query.request = std::make_shared<const ForwardedRequest>(request);
    query.sentAt = stranded.harness.now;
    query.objectiveLeft = milliseconds(100);
    query.timeLeft = milliseconds(1000);
    query.minConfigVersion = 5;
    stranded.harness.apply(RequestDelegated {InstanceId("b"), "10.0.0.2:1", query});
    CHECK(stranded.harness.started.size() == started);
    REQUIRE(stranded.harness.receipts.size() == 1);
    CHECK(stranded.harness.receipts[0].receipt.state == DelegationState::Unreachable);
}

// Guards against targets that are avoided after a break of the path that was not their fault.
TEST_CASE("the failures of a broken path are not held against the targets when it works again")
{
    StrandedGateway stranded;
    // The path is broken for so short a time that the targets would still be avoided.
    for (int i = 0; i < 4; ++i) {
        const std::size_t from = stranded.harness.started.size();
        stranded.harness.sendRequest("/p/x" + std::to_string(i));
        stranded.failAttempts(from);
        stranded.harness.advance(milliseconds(20));
    }
    for (const ProbePath &probe : std::exchange(stranded.harness.probes, {})) {
        stranded.harness.apply(PathProbed {probe.number, false});
    }
    // The attempts that are not connected are withdrawn.
    stranded.failAttempts(0);
    while (stranded.harness.probes.empty()) {
        stranded.harness.advance(milliseconds(10));
    }
    stranded.harness.apply(PathProbed {stranded.harness.probes.back().number, true});
    stranded.harness.advance(milliseconds(300));
    std::map<TargetId, int> requests;
    for (int i = 0; i < 40; ++i) {
        const std::size_t from = stranded.harness.started.size();
        stranded.harness.sendRequest("/p/y" + std::to_string(i));
        stranded.harness.advance(milliseconds(40));
        for (std::size_t at = from; at < stranded.harness.started.size(); ++at) {
            ++requests[stranded.harness.started[at].target];
            stranded.harness.reply(stranded.harness.started[at].attempt, ReplyClass::Success);
        }
    }
    for (const char *name : {"t", "u", "v", "w"}) {
        CHECK(requests[TargetId(name)] >= 3);
    }
}

// Guards against requests to a target after a caller was told that the target is leaving.
TEST_CASE(
        "planned stop: a target that said to a helping member that it is leaving gets no requests")
{
    StrandedGateway stranded;
    stranded.breakPath();
    stranded.offer("b");
    DelegatedAnswer answer;
    answer.number = stranded.harness.delegated.at(0).query.number;
    answer.requestId = stranded.harness.delegated[0].query.request->requestId;
    answer.reply.status = 502;
    answer.leavingTargets = {TargetId("t"), TargetId("unknown")};
    stranded.harness.apply(DelegatedAnswerReceived {InstanceId("b"), answer});
    // The path works again.
    stranded.harness.advance(milliseconds(500));
    REQUIRE_FALSE(stranded.harness.probes.empty());
    for (const ProbePath &probe : stranded.harness.probes) {
        CHECK(probe.target != TargetId("t"));
    }
    stranded.harness.apply(PathProbed {stranded.harness.probes.back().number, true});
    stranded.harness.advance(std::chrono::seconds(10));
    const std::size_t before = stranded.harness.started.size();
    for (int i = 0; i < 20; ++i) {
        stranded.harness.sendRequest("/p/y");
        stranded.harness.advance(milliseconds(5));
        stranded.harness.reply(stranded.harness.started.back().attempt, ReplyClass::Success);
    }
    REQUIRE(stranded.harness.started.size() == before + 20);
    for (std::size_t at = before; at < stranded.harness.started.size(); ++at) {
        CHECK(stranded.harness.started[at].target != TargetId("t"));
    }
}
