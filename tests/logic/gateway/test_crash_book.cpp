#include "gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

World crashWorld()
{
    World world(configOf({plainRoute("/p/", "g", true), gatherRoute("/all/", 3, 0.5)}),
                replicas(3, 2));
    world.tell(
            {World::targetChange(target("t0", "g"), 0), World::targetChange(target("t1", "g"), 0),
             World::targetChange(target("t2", "g"), 0), World::memberChange("a", "127.0.0.1:7000"),
             World::memberChange("b", "127.0.0.1:7001")});
    return world;
}

/// Each target that gets the request breaks its connection.
void crash(World &world, const std::string &path)
{
    std::size_t next = world.started.size();
    world.ask(path);
    while (next < world.started.size()) {
        world.apply(AttemptEnded {world.started[next++].attempt, AttemptEndKind::Lost});
    }
}

std::size_t sends(World &world, const std::string &path)
{
    const std::size_t before = world.started.size();
    crash(world, path);
    return world.started.size() - before;
}

} // namespace

TEST_CASE("a request that crashes targets is refused as not run, also when it comes again")
{
    World world = crashWorld();
    // Two attempts each, and the third crash is in the second request.
    CHECK(sends(world, "/p/bad") == 2);
    CHECK(sends(world, "/p/bad") == 2);
    CHECK(sends(world, "/p/bad") == 0);
    const ExchangeId id = world.ask("/p/bad");
    CHECK(world.answerOf(id)->status == 503);
    CHECK(world.answerOf(id)->retryAfter > Duration(0));
    SECTION("others are served")
    {
        world.ask("/p/good");
        world.reply(world.started.back().attempt, ReplyClass::Success);
        CHECK(sends(world, "/p/other") > 0);
    }
    SECTION("it is tried again after a while, ever more rarely")
    {
        std::size_t tried = 0;
        for (int i = 0; i < 60; ++i) {
            world.pass(std::chrono::seconds(1));
            tried += sends(world, "/p/bad") > 0 ? 1 : 0;
        }
        CHECK(tried == 1);
    }
}

TEST_CASE("a gathered request that crashes its targets is refused after three crashes of a group")
{
    World world = crashWorld();
    CHECK(sends(world, "/all/bad") > 0);
    CHECK(sends(world, "/all/bad") > 0);
    CHECK(sends(world, "/all/bad") == 0);
}

TEST_CASE("a target that answers a request clears it")
{
    World world = crashWorld();
    crash(world, "/p/x");
    world.ask("/p/x");
    world.reply(world.started.back().attempt, ReplyClass::Success);
    crash(world, "/p/x");
    CHECK(sends(world, "/p/x") > 0);
}

TEST_CASE("members hear of crashes once, and refuse the request too")
{
    World first = crashWorld();
    crash(first, "/p/bad");
    crash(first, "/p/bad");
    REQUIRE(first.crashes.size() == 2);
    CHECK(first.crashes[0].receivers == std::vector<std::string> {"127.0.0.1:7001"});
    World second = crashWorld();
    for (const ReportCrash &report : first.crashes) {
        CrashSighting sighting = report.sighting;
        sighting.origin = InstanceId("b");
        second.apply(CrashReported {sighting});
    }
    CHECK(sends(second, "/p/bad") == 0);
    SECTION("the same word again counts nothing")
    {
        World third = crashWorld();
        CrashSighting sighting = first.crashes[0].sighting;
        sighting.origin = InstanceId("b");
        third.apply(CrashReported {sighting});
        third.apply(CrashReported {sighting});
        CHECK(sends(third, "/p/bad") > 0);
    }
}
