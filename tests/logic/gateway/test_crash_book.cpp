#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

/// Returns a gateway with a plain and a gathered route that knows one other member.
World twoMemberWorld()
{
    World world(configOf({plainRoute("/p/", "g", true), gatherRoute("/all/", 3, 0.5)}),
                replicas(3, 2));
    world.tell(
            {World::targetChange(target("t0", "g"), 0), World::targetChange(target("t1", "g"), 0),
             World::targetChange(target("t2", "g"), 0), World::memberChange("a", "127.0.0.1:7000"),
             World::memberChange("b", "127.0.0.1:7001")});
    return world;
}

/// Sends a request and breaks the connection of every attempt, as if it crashed its targets.
void crashTargets(World &world, const std::string &path)
{
    std::size_t next = world.started.size();
    world.ask(path);
    while (next < world.started.size()) {
        world.apply(AttemptEnded {world.started[next++].attempt, AttemptEndKind::Lost});
    }
}

/// Sends a request that crashes its targets and returns the number of its attempts.
std::size_t crashAndCountAttempts(World &world, const std::string &path)
{
    const std::size_t before = world.started.size();
    crashTargets(world, path);
    return world.started.size() - before;
}

} // namespace

TEST_CASE("a request that crashed three targets is refused, and so are its repetitions")
{
    World world = twoMemberWorld();
    // Each request makes two attempts, so the second request causes the third crash.
    CHECK(crashAndCountAttempts(world, "/p/bad") == 2);
    CHECK(crashAndCountAttempts(world, "/p/bad") == 2);
    CHECK(crashAndCountAttempts(world, "/p/bad") == 0);
    const ExchangeId id = world.ask("/p/bad");
    CHECK(world.answerOf(id)->status == 503);
    CHECK(world.answerOf(id)->retryAfter > Duration(0));
    SECTION("other requests are served")
    {
        world.ask("/p/good");
        world.reply(world.started.back().attempt, ReplyClass::Success);
        CHECK(crashAndCountAttempts(world, "/p/other") > 0);
    }
    SECTION("it is tried again only once within a minute")
    {
        std::size_t tried = 0;
        for (int i = 0; i < 60; ++i) {
            world.pass(std::chrono::seconds(1));
            tried += crashAndCountAttempts(world, "/p/bad") > 0 ? 1 : 0;
        }
        CHECK(tried == 1);
    }
}

TEST_CASE("a gathered request that crashes its targets is refused after three crashes of a group")
{
    World world = twoMemberWorld();
    CHECK(crashAndCountAttempts(world, "/all/bad") > 0);
    CHECK(crashAndCountAttempts(world, "/all/bad") > 0);
    CHECK(crashAndCountAttempts(world, "/all/bad") == 0);
}

TEST_CASE("a request is cleared once a target answers it")
{
    World world = twoMemberWorld();
    crashTargets(world, "/p/x");
    world.ask("/p/x");
    world.reply(world.started.back().attempt, ReplyClass::Success);
    crashTargets(world, "/p/x");
    CHECK(crashAndCountAttempts(world, "/p/x") > 0);
}

TEST_CASE("crashes are reported to other members, which refuse the request too")
{
    World first = twoMemberWorld();
    crashTargets(first, "/p/bad");
    crashTargets(first, "/p/bad");
    REQUIRE(first.crashReports.size() == 2);
    CHECK(first.crashReports[0].receivers == std::vector<std::string> {"127.0.0.1:7001"});
    World second = twoMemberWorld();
    for (const ReportCrash &report : first.crashReports) {
        CrashSighting sighting = report.sighting;
        sighting.origin = InstanceId("b");
        second.apply(CrashReported {sighting});
    }
    CHECK(crashAndCountAttempts(second, "/p/bad") == 0);
    SECTION("a duplicate report is ignored")
    {
        World third = twoMemberWorld();
        CrashSighting sighting = first.crashReports[0].sighting;
        sighting.origin = InstanceId("b");
        third.apply(CrashReported {sighting});
        third.apply(CrashReported {sighting});
        CHECK(crashAndCountAttempts(third, "/p/bad") > 0);
    }
}
