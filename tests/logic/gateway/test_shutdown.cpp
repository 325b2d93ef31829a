// Requests at an instance that is asked to stop, on every way that a request takes.

#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr Duration grace = std::chrono::seconds(6);
constexpr Duration timeLimit = std::chrono::seconds(6);

/// Returns a route whose requests may take longer than the grace period lasts.
Route longRoute(const std::string &prefix, bool idempotent)
{
    Route route = plainRoute(prefix, "g", idempotent);
    route.timeout = timeLimit;
    return route;
}

GatewayHarness stoppingHarness()
{
    GatewayHarness harness(configOf({longRoute("/safe/", true), longRoute("/once/", false),
                                     gatherRoute("/all/", 3, 0.5)}),
                           replicas(3, 2));
    harness.answerWatch({GatewayHarness::targetChange(target("t0", "g"), 0),
                         GatewayHarness::targetChange(target("t1", "g"), 0),
                         GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    return harness;
}

/// Sends a request at the given time after the stop began.
ExchangeId sendAt(GatewayHarness &harness, Instant stoppedAt, Duration after,
                  const std::string &path)
{
    harness.advance(stoppedAt + after - harness.now);
    return harness.sendRequest(path, timeLimit);
}

/// Returns a request that a member delegates.
RequestDelegated delegatedRequest(const GatewayHarness &harness, const std::string &path)
{
    ForwardedRequest request;
    request.method = "GET";
    request.host = "h";
    request.path = path;
    request.requestId = "d";
    DelegatedRequest query;
    query.number = 9;
    query.request = std::make_shared<const ForwardedRequest>(std::move(request));
    query.sentAt = harness.now;
    query.objectiveLeft = milliseconds(200);
    query.timeLeft = timeLimit;
    return {InstanceId("b"), "127.0.0.1:7001", std::move(query)};
}

} // namespace

// Guards against requests that are passed on so late that the process ends before their answer.
TEST_CASE("steady arrivals: a stopping instance serves callers while there is time, then refuses")
{
    for (const std::string path : {"/safe/x", "/once/x"}) {
        GatewayHarness harness = stoppingHarness();
        const Instant stoppedAt = harness.now;
        harness.apply(GatewayStopRequested {});
        std::size_t served = 0;
        for (Duration after {}; after < grace; after += milliseconds(20)) {
            const std::size_t sent = harness.started.size();
            const ExchangeId id = sendAt(harness, stoppedAt, after, path);
            if (harness.started.size() == sent) {
                REQUIRE(harness.answerOf(id));
                CHECK(harness.answerOf(id)->status == 503);
                CHECK(harness.answerOf(id)->retryAfter > Duration(0));
                // Refused once there is less than a second left, and from then on.
                CHECK(after > grace - std::chrono::seconds(1));
            } else {
                CHECK(after < grace - milliseconds(500));
                harness.reply(harness.started.back().attempt, ReplyClass::Success);
                ++served;
            }
        }
        CHECK(served > 200);
    }
}

TEST_CASE("a request whose own deadline is before the end is served")
{
    GatewayHarness harness = stoppingHarness();
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    harness.advance(stoppedAt + grace - milliseconds(500) - harness.now);
    const ExchangeId id = harness.sendRequest("/safe/x", milliseconds(80));
    REQUIRE(harness.started.size() == 1);
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    CHECK(harness.answerOf(id)->status == 200);
}

// Guards against connections that end without an answer because a target takes to the end.
TEST_CASE("hung targets: every request under way is answered before a stopping instance ends")
{
    GatewayHarness harness = stoppingHarness();
    const ExchangeId before = harness.sendRequest("/safe/x", timeLimit);
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    const ExchangeId after = sendAt(harness, stoppedAt, milliseconds(100), "/once/x");
    harness.advance(stoppedAt + grace - milliseconds(300) - harness.now);
    for (const ExchangeId id : {before, after}) {
        REQUIRE(harness.answerOf(id));
        CHECK(harness.answerOf(id)->status == 504);
    }
    CHECK(harness.gateway.isIdle());
    // The targets were told no more time than there is.
    CHECK(harness.started.back().deadlineAt <= stoppedAt + grace - milliseconds(300));
}

TEST_CASE("a request that no target ran is refused as not run when there is no time for a retry")
{
    GatewayHarness harness = stoppingHarness();
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    const ExchangeId id = sendAt(harness, stoppedAt, milliseconds(5000), "/once/x");
    REQUIRE(harness.started.size() == 1);
    harness.advance(milliseconds(500));
    harness.reply(harness.started[0].attempt, ReplyClass::NotRun, 503);
    CHECK(harness.started.size() == 1);
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 503);
}

TEST_CASE("neither a retry nor a hedge starts when its answer would come after the end")
{
    GatewayHarness harness = stoppingHarness();
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    const ExchangeId id = sendAt(harness, stoppedAt, milliseconds(5390), "/safe/x");
    REQUIRE(harness.started.size() == 1);
    SECTION("hedge")
    {
        harness.advance(milliseconds(150));
        CHECK(harness.started.size() == 1);
    }
    SECTION("retry")
    {
        harness.advance(milliseconds(20));
        harness.apply(AttemptEnded {harness.started[0].attempt, AttemptEndKind::Lost});
        CHECK(harness.started.size() == 1);
        REQUIRE(harness.answerOf(id));
        CHECK(harness.answerOf(id)->status == 502);
    }
}

TEST_CASE("a gathered request at a stopping instance is answered with the parts that are there")
{
    GatewayHarness harness = stoppingHarness();
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    const ExchangeId id = sendAt(harness, stoppedAt, milliseconds(5300), "/all/x");
    REQUIRE(harness.started.size() == 3);
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    harness.reply(harness.started[1].attempt, ReplyClass::Success);
    harness.advance(stoppedAt + grace - milliseconds(300) - harness.now);
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 200);
    CHECK(harness.answerOf(id)->partsMissing == 1);
}

TEST_CASE(
        "queued requests of a stopping instance are refused as not run while others can serve them")
{
    GatewayHarness harness = stoppingHarness();
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    harness.advance(milliseconds(5380));
    std::vector<ExchangeId> ids;
    for (int i = 0; i < 40; ++i) {
        ids.push_back(harness.sendRequest("/safe/x", timeLimit));
    }
    const std::size_t sent = harness.started.size();
    REQUIRE(sent < ids.size());
    harness.advance(milliseconds(30));
    CHECK(harness.started.size() == sent);
    for (std::size_t i = sent; i < ids.size(); ++i) {
        REQUIRE(harness.answerOf(ids[i]));
        CHECK(harness.answerOf(ids[i])->status == 503);
    }
    CHECK(harness.now < stoppedAt + grace - milliseconds(400));
}

TEST_CASE("a request that a member delegated is answered before a stopping instance ends")
{
    GatewayHarness harness = stoppingHarness();
    harness.apply(delegatedRequest(harness, "/once/x"));
    REQUIRE(harness.started.size() == 1);
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    // New ones are left to other members at once.
    harness.apply(delegatedRequest(harness, "/safe/x"));
    REQUIRE_FALSE(harness.receipts.empty());
    CHECK(harness.receipts.back().receipt.state == DelegationState::Leaving);
    harness.advance(stoppedAt + grace - milliseconds(300) - harness.now);
    REQUIRE(harness.delegatedAnswers.size() == 1);
    CHECK(harness.delegatedAnswers[0].answer.reply.status == 504);
}

// Guards against callers of a stopping instance that wait for a member until the process ends.
TEST_CASE("a request that a stopping instance delegated is answered before its end")
{
    GatewayHarness harness = stoppingHarness();
    // No target is reached, so that the other member is asked for help.
    harness.sendRequest("/all/x", timeLimit);
    harness.sendRequest("/safe/x", timeLimit);
    for (std::size_t i = 0; i < harness.started.size(); ++i) {
        harness.apply(AttemptEnded {harness.started[i].attempt, AttemptEndKind::Unreachable});
    }
    for (const ProbePath &probe : std::exchange(harness.probes, {})) {
        harness.apply(PathProbed {probe.number, false});
    }
    harness.inquiries.clear();
    const ExchangeId id = harness.sendRequest("/safe/y", timeLimit);
    REQUIRE_FALSE(harness.inquiries.empty());
    harness.apply(OfferReceived {
            InstanceId("b"),
            {harness.inquiries.back().inquiry.number, DelegationState::Accepted, harness.now}});
    REQUIRE_FALSE(harness.delegated.empty());
    const std::uint64_t number = harness.delegated.back().query.number;
    const Instant stoppedAt = harness.now;
    harness.apply(GatewayStopRequested {});
    while (harness.now < stoppedAt + grace - milliseconds(300)) {
        harness.advance(milliseconds(100));
        harness.apply(ReceiptReceived {InstanceId("b"), {number, DelegationState::Accepted}});
    }
    REQUIRE(harness.answerOf(id));
    CHECK(harness.answerOf(id)->status == 504);
    CHECK_FALSE(harness.cancellations.empty());
    CHECK(harness.gateway.isIdle());
}
