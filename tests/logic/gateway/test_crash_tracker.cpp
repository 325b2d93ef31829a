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
