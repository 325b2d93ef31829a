#include "logic/effects.h"
#include "logic/invariant.h"
#include "tests/logic/quarantine/quarantine_cell.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lagoondeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::shared_ptr<const std::string> poison()
{
    return std::make_shared<const std::string>(R"({"poison":true})");
}

/// Targets that a poison takes down which is sent to random nodes in a span of time.
std::size_t lossesOf(std::uint64_t seed, bool canary, Duration span, bool shareWords)
{
    QuarantineCell cell(6, seed);
    cell.canary = canary;
    cell.deliverWords = shareWords;
    for (int i = 0; i < 20; ++i) {
        cell.sendAtRandom("poison", span);
    }
    cell.runFor(span + seconds(10));
    return cell.lostTargets.size();
}

} // namespace

TEST_CASE("A poison sent over all nodes takes at most two targets down")
{
    SECTION("one after the other")
    {
        REQUIRE(rc::check([](std::uint64_t seed) {
            RC_ASSERT(lossesOf(seed, true, seconds(20), true) <= 2U);
        }));
    }
    SECTION("nearly at once")
    {
        REQUIRE(rc::check([](std::uint64_t seed) {
            RC_ASSERT(lossesOf(seed, true, milliseconds(5), true) <= 2U);
        }));
    }
}

TEST_CASE("The count above finds more losses when nodes don't tell each other")
{
    REQUIRE(lossesOf(1, true, seconds(20), false) > 2);
    REQUIRE(lossesOf(1, true, milliseconds(5), false) > 2);
}

TEST_CASE("A quarantined poison is refused by every node and comes back after its time")
{
    QuarantineCell cell(4, 7);
    cell.canary = true;
    for (int i = 0; i < 20; ++i) {
        cell.sendAtRandom("poison", seconds(10));
    }
    cell.runFor(seconds(15));
    for (std::size_t node = 0; node < 4; ++node) {
        REQUIRE(cell.judge(node, "poison") == Verdict::Refuse);
    }
    cell.runFor(std::chrono::minutes(6));
    REQUIRE(cell.judge(0, "poison") != Verdict::Refuse);
}

TEST_CASE("Innocent requests all run, each fingerprint through few canaries")
{
    REQUIRE(rc::check([](std::uint64_t seed) {
        QuarantineCell cell(6, seed);
        cell.canary = true;
        for (int i = 0; i < 60; ++i) {
            cell.sendAtRandom("innocent-" + std::to_string(i % 3), milliseconds(200));
        }
        cell.runFor(seconds(5));
        RC_ASSERT(cell.answered == 60U);
        RC_ASSERT(cell.refused == 0U);
    }));
}

TEST_CASE("A rack that fails does not quarantine what is sent often")
{
    QuarantineCell cell(3, 5);
    cell.canary = true;
    for (int i = 0; i < 200; ++i) {
        cell.sendAtRandom("popular", seconds(2));
    }
    cell.runFor(seconds(1));
    cell.failTargets(5);
    cell.runFor(seconds(10));
    REQUIRE(cell.refused == 0);
    for (std::size_t node = 0; node < 3; ++node) {
        REQUIRE(cell.judge(node, "popular") != Verdict::Refuse);
    }
}

TEST_CASE("Without a canary a poison is tried with care from its second sending on")
{
    QuarantineCell cell(4, 3);
    for (int i = 0; i < 20; ++i) {
        cell.sendAtRandom("poison", seconds(20));
    }
    cell.runFor(seconds(30));
    // The first sending reaches all its shards at once.
    REQUIRE(cell.lostTargets.size() <= QuarantineCell::shards + 1);
}

TEST_CASE("An owner that is gone does not stop service")
{
    QuarantineCell cell(4, 9);
    cell.canary = true;
    cell.deadNodes = {1, 2, 3};
    for (int i = 0; i < 10; ++i) {
        cell.send(0, "innocent-" + std::to_string(i), Duration(i));
    }
    cell.runFor(seconds(5));
    REQUIRE(cell.answered == 10);
}

TEST_CASE("A second sub-request of a canary breaks the rule")
{
    MembershipView view;
    view.self.id = InstanceId("entry-0");
    Quarantine quarantine(view);
    std::vector<Effect> effects;
    RandomEngine random(1);
    IdSource ids;
    Context context {Instant(seconds(1)), WallTime {}, effects, random, ids};
    CallerRequest request;
    request.query = QueryId(1);
    CatalogueEntry entry;
    entry.canary = true;
    REQUIRE(quarantine.judge(request, entry, context.now, context) == Verdict::RunCanary);
    SendSubRequest sent;
    sent.query = request.query;
    sent.attempt = AttemptId(1);
    quarantine.onSent(sent, context);
    sent.attempt = AttemptId(2);
    REQUIRE_THROWS_AS(quarantine.onSent(sent, context), InvariantViolation);
}

TEST_CASE("Known requests are bounded")
{
    KnownRequests known;
    for (std::uint64_t i = 0; i < 200000; ++i) {
        known.add(Fingerprint(i), Instant(seconds(1)));
    }
    REQUIRE(known.size() <= 2 * 32768);
    REQUIRE(known.contains(Fingerprint(199999)));
}

TEST_CASE("A fingerprint tells entries and bodies apart")
{
    const auto a = fingerprintOf(EntryName("a"), *poison());
    REQUIRE(a == fingerprintOf(EntryName("a"), *poison()));
    REQUIRE(a != fingerprintOf(EntryName("b"), *poison()));
    REQUIRE(a != fingerprintOf(EntryName("a"), "{}"));
}
