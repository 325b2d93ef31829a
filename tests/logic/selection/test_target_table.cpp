#include "logic/invariant.h"
#include "tests/logic/selection/table_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

TEST_CASE("A shrinking share closes idle connections, a growing one opens more")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    CHECK(fixture.table.connectionCount() == 8);
    fixture.table.setLiveInstances(4);
    fixture.tick();
    CHECK(fixture.taken<CloseConnection>().size() == 7);
    CHECK(fixture.table.connectionCount() == 1);
    fixture.table.setLiveInstances(2);
    fixture.tick();
    CHECK(fixture.openAll() == 3);
    CHECK(fixture.table.connectionCount() == 4);
}

TEST_CASE("Any sign that a target leaves ends its work")
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
    SECTION("not being listed any more")
    {
        fixture.list.targets.clear();
        fixture.listInstances();
    }
    CHECK_FALSE(fixture.reserve());
    CHECK_FALSE(fixture.table.hasReplica(fixture.key, fixture.snapshot, {}));
}

TEST_CASE("A clean report does not bring back a target that is leaving")
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
    SECTION("by a process that takes work")
    {
        CHECK(fixture.openAll() == 1);
        CHECK(fixture.reserve());
    }
    SECTION("by one that still leaves")
    {
        fixture.report.leaving = true;
        CHECK(fixture.openAll() == 1);
        CHECK_FALSE(fixture.reserve());
    }
    SECTION("unless the instance list still calls it leaving")
    {
        fixture.list.targets.front().state = InstanceState::Leaving;
        fixture.listInstances();
        fixture.openAll();
        CHECK_FALSE(fixture.reserve());
    }
}

TEST_CASE("A target under another address is another one")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    fixture.list.targets.front().address = "10.0.0.99";
    fixture.listInstances();
    CHECK_FALSE(fixture.reserve());
    fixture.listInstances();
    const auto opens = fixture.taken<OpenConnection>();
    REQUIRE_FALSE(opens.empty());
    CHECK(opens.front().address == "10.0.0.99");
}

TEST_CASE("A target that refuses rests, and the table asks to be woken")
{
    TableFixture fixture;
    fixture.addReplicas(1);
    fixture.taken<SetTimer>();
    fixture.release(*fixture.reserve(), 1ms, SubRequestEnd::Shed);
    CHECK_FALSE(fixture.reserve());
    const auto timers = fixture.taken<SetTimer>();
    REQUIRE(timers.size() == 1);
    CHECK(timers.front().timer.kind == TimerKind::QueueCheck);
    fixture.now = timers.front().at;
    CHECK(fixture.reserve());
}

TEST_CASE("Whatever happens, the share is kept and a leaving target gets no work")
{
    const bool holds = rc::check("shares and leaving", [] {
        TableFixture fixture({}, 2);
        fixture.addReplicas(3);
        std::vector<Reservation> out;
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
                if (!out.empty()) {
                    fixture.close(out.back(), ConnectionEnd::ClosedByUs);
                    out.pop_back();
                }
                break;
            case 3:
                if (!out.empty()) {
                    fixture.release(out.back(), 1ms * *rc::gen::inRange(1, 300),
                                    *rc::gen::element(SubRequestEnd::Answered, SubRequestEnd::Shed,
                                                      SubRequestEnd::Cancelled));
                    out.pop_back();
                }
                break;
            default:
                fixture.openAll();
                if (const auto reservation = fixture.reserve()) {
                    const auto which =
                            static_cast<std::size_t>(reservation->target.value.front() - 'a');
                    RC_ASSERT(!leaving[which]);
                    out.push_back(*reservation);
                }
            }
            // Eight connections a target over two instances at least, and no more than them.
            RC_ASSERT(fixture.table.connectionCount() <= 12U);
        }
    });
    CHECK(holds);
}
