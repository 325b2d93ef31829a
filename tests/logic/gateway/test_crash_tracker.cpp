#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

/// Returns a gateway with a plain and a gathered route that knows one other member.
GatewayHarness twoMemberHarness()
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true), gatherRoute("/all/", 3, 0.5)}),
                           replicas(3, 2));
    harness.answerWatch({GatewayHarness::targetChange(target("t0", "g"), 0),
                         GatewayHarness::targetChange(target("t1", "g"), 0),
                         GatewayHarness::targetChange(target("t2", "g"), 0),
                         GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    return harness;
}

/// Sends a request and breaks the connection of every attempt, as if it crashed its targets.
void crashTargets(GatewayHarness &harness, const std::string &path)
{
    std::size_t next = harness.started.size();
    harness.sendRequest(path);
    while (next < harness.started.size()) {
        harness.apply(AttemptEnded {harness.started[next++].attempt, AttemptEndKind::Lost});
    }
}

/// Sends a request that crashes its targets and returns the number of its attempts.
std::size_t crashAndCountAttempts(GatewayHarness &harness, const std::string &path)
{
    const std::size_t before = harness.started.size();
    crashTargets(harness, path);
    return harness.started.size() - before;
}

} // namespace

TEST_CASE("a request that crashed three targets is refused, and so are its repetitions")
{
    GatewayHarness harness = twoMemberHarness();
    // Each request makes two attempts, so the second request causes the third crash.
    CHECK(crashAndCountAttempts(harness, "/p/bad") == 2);
    CHECK(crashAndCountAttempts(harness, "/p/bad") == 2);
    CHECK(crashAndCountAttempts(harness, "/p/bad") == 0);
    const ExchangeId id = harness.sendRequest("/p/bad");
    CHECK(harness.answerOf(id)->status == 503);
    CHECK(harness.answerOf(id)->retryAfter > Duration(0));
    SECTION("other requests are served")
    {
        harness.sendRequest("/p/good");
        harness.reply(harness.started.back().attempt, ReplyClass::Success);
        CHECK(crashAndCountAttempts(harness, "/p/other") > 0);
    }
    SECTION("it is tried again only once within a minute")
    {
        std::size_t tried = 0;
        for (int i = 0; i < 60; ++i) {
            harness.advance(std::chrono::seconds(1));
            tried += crashAndCountAttempts(harness, "/p/bad") > 0 ? 1 : 0;
        }
        CHECK(tried == 1);
    }
}

TEST_CASE("a gathered request that crashes its targets is refused after three crashes of a group")
{
    GatewayHarness harness = twoMemberHarness();
    CHECK(crashAndCountAttempts(harness, "/all/bad") > 0);
    CHECK(crashAndCountAttempts(harness, "/all/bad") > 0);
    CHECK(crashAndCountAttempts(harness, "/all/bad") == 0);
}

TEST_CASE("crashes are reported without other requests too, once a probe shows that the path works")
{
    GatewayHarness harness = twoMemberHarness();
    crashTargets(harness, "/p/bad");
    harness.advance(milliseconds(400));
    CHECK(harness.crashReports.empty());
    REQUIRE_FALSE(harness.probes.empty());
    harness.apply(PathProbed {harness.probes.front().number, true});
    harness.advance(milliseconds(100));
    CHECK(harness.crashReports.size() == 1);
}

// Guards against an instance that lost its path to the targets and has a harmless request refused
// everywhere.
TEST_CASE("partition: connections that broke with the path are not taken for crashes")
{
    GatewayHarness harness = twoMemberHarness();
    for (int i = 0; i < 3; ++i) {
        harness.sendRequest("/p/popular");
    }
    const std::size_t running = harness.started.size();
    for (std::size_t at = 0; at < running; ++at) {
        harness.apply(AttemptEnded {harness.started[at].attempt, AttemptEndKind::Lost});
    }
    for (std::size_t at = running; at < harness.started.size(); ++at) {
        harness.apply(AttemptEnded {harness.started[at].attempt, AttemptEndKind::Unreachable});
    }
    harness.advance(milliseconds(500));
    for (const ProbePath &probe : std::exchange(harness.probes, {})) {
        harness.apply(PathProbed {probe.number, false});
    }
    harness.advance(milliseconds(10));
    CHECK(harness.crashReports.empty());
    // The path works again, and the request is not refused.
    harness.advance(milliseconds(500));
    REQUIRE_FALSE(harness.probes.empty());
    harness.apply(PathProbed {harness.probes.back().number, true});
    harness.advance(std::chrono::seconds(5));
    CHECK(harness.crashReports.empty());
    const std::size_t before = harness.started.size();
    harness.sendRequest("/p/popular");
    CHECK(harness.started.size() == before + 1);
}

TEST_CASE("a request is cleared once a target answers it")
{
    GatewayHarness harness = twoMemberHarness();
    crashTargets(harness, "/p/x");
    harness.sendRequest("/p/x");
    harness.reply(harness.started.back().attempt, ReplyClass::Success);
    crashTargets(harness, "/p/x");
    CHECK(crashAndCountAttempts(harness, "/p/x") > 0);
}

TEST_CASE("crashes are reported to other members, which refuse the request too")
{
    GatewayHarness first = twoMemberHarness();
    crashTargets(first, "/p/bad");
    crashTargets(first, "/p/bad");
    // Other targets answer, so the path to them works.
    first.advance(milliseconds(60));
    first.sendRequest("/all/good");
    first.reply(first.started.back().attempt, ReplyClass::Success);
    first.advance(milliseconds(60));
    REQUIRE(first.crashReports.size() == 2);
    CHECK(first.crashReports[0].receivers == std::vector<std::string> {"127.0.0.1:7001"});
    GatewayHarness second = twoMemberHarness();
    for (const ReportCrash &report : first.crashReports) {
        CrashObservation observation = report.observation;
        observation.origin = InstanceId("b");
        second.apply(CrashReported {observation});
    }
    CHECK(crashAndCountAttempts(second, "/p/bad") == 0);
    SECTION("a duplicate report is ignored")
    {
        GatewayHarness third = twoMemberHarness();
        CrashObservation observation = first.crashReports[0].observation;
        observation.origin = InstanceId("b");
        third.apply(CrashReported {observation});
        third.apply(CrashReported {observation});
        CHECK(crashAndCountAttempts(third, "/p/bad") > 0);
    }
}
