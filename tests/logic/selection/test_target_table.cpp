#include "logic/invariant.h"
#include "tests/logic/selection/table_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

TEST_CASE("A smaller share closes idle connections, and a larger one opens more")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    CHECK(fixture.table.connectionCount() == 8);
    fixture.table.setLiveInstances(4);
    fixture.tick();
    CHECK(fixture.takeEffects<CloseConnection>().size() == 7);
    CHECK(fixture.table.connectionCount() == 1);
    fixture.table.setLiveInstances(2);
    fixture.tick();
    CHECK(fixture.acceptConnections() == 3);
    CHECK(fixture.table.connectionCount() == 4);
}

TEST_CASE("A target gets no work after any sign that it is leaving")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    REQUIRE(fixture.reserve());
    SECTION("its report")
    {
        fixture.report.leaving = true;
        Context context = fixture.context();
        fixture.table.onReport(TargetId("a"), fixture.report, context);
    }
    SECTION("the instance list")
    {
        fixture.list.targets.front().state = InstanceState::Leaving;
        fixture.listInstances();
    }
    SECTION("no longer being listed")
    {
        fixture.list.targets.clear();
        fixture.listInstances();
    }
    CHECK_FALSE(fixture.reserve());
    CHECK_FALSE(fixture.table.hasReplica(fixture.key, fixture.snapshot, {}));
}

TEST_CASE("A report without the leaving flag does not bring back a leaving target")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    Context context = fixture.context();
    fixture.table.markLeaving(TargetId("a"), context);
    fixture.table.onReport(TargetId("a"), fixture.report, context);
    CHECK_FALSE(fixture.reserve());
}

TEST_CASE("A target is used again once its old process has ended")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    const auto connections = fixture.table.connectionCount();
    std::vector<Reservation> all;
    while (const auto reservation = fixture.reserve()) {
        all.push_back(*reservation);
    }
    REQUIRE(all.size() == connections);
    Context context = fixture.context();
    fixture.table.markLeaving(TargetId("a"), context);
    for (const Reservation &reservation : all) {
        fixture.close(reservation, ConnectionEnd::Lost);
    }
    fixture.now += 5s;
    fixture.tick();
    SECTION("by a process that accepts work")
    {
        CHECK(fixture.acceptConnections() == 1);
        CHECK(fixture.reserve());
    }
    SECTION("by a process that is also leaving")
    {
        fixture.report.leaving = true;
        CHECK(fixture.acceptConnections() == 1);
        CHECK_FALSE(fixture.reserve());
    }
    SECTION("unless the instance list still says that it is leaving")
    {
        fixture.list.targets.front().state = InstanceState::Leaving;
        fixture.listInstances();
        fixture.acceptConnections();
        CHECK_FALSE(fixture.reserve());
    }
}

TEST_CASE("A target with another address is treated as a new target")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    fixture.list.targets.front().address = "10.0.0.99";
    fixture.listInstances();
    CHECK_FALSE(fixture.reserve());
    fixture.listInstances();
    const auto opens = fixture.takeEffects<OpenConnection>();
    REQUIRE_FALSE(opens.empty());
    CHECK(opens.front().address == "10.0.0.99");
}

TEST_CASE("A target that sheds work is paused, and the table sets a timer for the end of the pause")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    fixture.takeEffects<SetTimer>();
    fixture.release(*fixture.reserve(), 1ms, SubRequestOutcome::Shed);
    CHECK_FALSE(fixture.reserve());
    const auto timers = fixture.takeEffects<SetTimer>();
    REQUIRE(timers.size() == 1);
    CHECK(timers.front().timer.kind == TimerKind::QueueCheck);
    fixture.now = timers.front().at;
    CHECK(fixture.reserve());
}

TEST_CASE("Connections stay within the share and a leaving target gets no work, whatever happens")
{
    const bool holds = rc::check("shares and leaving", [] {
        TableFixture fixture({}, 2);
        fixture.addReplicas(3);
        std::vector<Reservation> reserved;
        std::vector<bool> leaving(3);
        for (int step = 0; step < 80; ++step) {
            fixture.now += 1ms * *rc::gen::inRange(0, 100);
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                fixture.table.setLiveInstances(*rc::gen::inRange(1U, 9U));
                fixture.tick();
                break;
            case 1: {
                const auto which = *rc::gen::inRange<std::size_t>(0, 3);
                leaving[which] = true;
                Context context = fixture.context();
                fixture.table.markLeaving(TableFixture::nameOf(which), context);
                break;
            }
            case 2:
                if (!reserved.empty()) {
                    fixture.close(reserved.back(), ConnectionEnd::ClosedByUs);
                    reserved.pop_back();
                }
                break;
            case 3:
                if (!reserved.empty()) {
                    fixture.release(reserved.back(), 1ms * *rc::gen::inRange(1, 300),
                                    *rc::gen::element(SubRequestOutcome::Answered,
                                                      SubRequestOutcome::Shed,
                                                      SubRequestOutcome::Cancelled));
                    reserved.pop_back();
                }
                break;
            default:
                fixture.acceptConnections();
                if (const auto reservation = fixture.reserve()) {
                    const auto which =
                            static_cast<std::size_t>(reservation->target.value.front() - 'a');
                    RC_ASSERT(!leaving[which]);
                    reserved.push_back(*reservation);
                }
            }
            // Three targets of eight connections each, shared by at least two instances.
            RC_ASSERT(fixture.table.connectionCount() <= 12U);
        }
    });
    CHECK(holds);
}
