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

/// Returns the number of targets that are lost when a request that crashes its targets is sent 20
/// times to random instances within the given time.
std::size_t countLostTargets(std::uint64_t seed, bool canary, Duration span, bool deliverMessages)
{
    QuarantineCell cell(6, seed);
    cell.canary = canary;
    cell.deliverMessages = deliverMessages;
    for (int i = 0; i < 20; ++i) {
        cell.sendAtRandom("poison", span);
    }
    cell.runFor(span + seconds(10));
    return cell.lostTargets.size();
}

} // namespace

TEST_CASE("A crashing request sent to all instances takes down at most two targets")
{
    SECTION("sent over 20 seconds")
    {
        REQUIRE(rc::check([](std::uint64_t seed) {
            RC_ASSERT(countLostTargets(seed, true, seconds(20), true) <= 2U);
        }));
    }
    SECTION("sent within 5 milliseconds")
    {
        REQUIRE(rc::check([](std::uint64_t seed) {
            RC_ASSERT(countLostTargets(seed, true, milliseconds(5), true) <= 2U);
        }));
    }
}

/// Shows that the bound of the test above depends on the messages and is not met by chance.
TEST_CASE("More than two targets are lost when instances exchange no messages")
{
    REQUIRE(countLostTargets(1, true, seconds(20), false) > 2);
    REQUIRE(countLostTargets(1, true, milliseconds(5), false) > 2);
}

TEST_CASE("A quarantined request is refused by every instance until its record expires")
{
    QuarantineCell cell(4, 7);
    cell.canary = true;
    for (int i = 0; i < 20; ++i) {
        cell.sendAtRandom("poison", seconds(10));
    }
    cell.runFor(seconds(15));
    for (std::size_t node = 0; node < 4; ++node) {
        REQUIRE(cell.decide(node, "poison") == QuarantineDecision::Refuse);
    }
    cell.runFor(std::chrono::minutes(6));
    REQUIRE(cell.decide(0, "poison") != QuarantineDecision::Refuse);
}

TEST_CASE("Harmless requests are all answered and none is refused")
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

TEST_CASE("A failing rack does not quarantine a frequent request")
{
    QuarantineCell cell(3, 5);
    cell.canary = true;
    for (int i = 0; i < 200; ++i) {
        cell.sendAtRandom("popular", seconds(2));
    }
    cell.runFor(seconds(1));
    cell.loseTargetsAtOnce(5);
    cell.runFor(seconds(10));
    REQUIRE(cell.refused == 0);
    for (std::size_t node = 0; node < 3; ++node) {
        REQUIRE(cell.decide(node, "popular") != QuarantineDecision::Refuse);
    }
}

TEST_CASE("Without a canary a crashing request runs on one target at a time from its second "
          "sending on")
{
    QuarantineCell cell(4, 3);
    for (int i = 0; i < 20; ++i) {
        cell.sendAtRandom("poison", seconds(20));
    }
    cell.runFor(seconds(30));
    // The first query reaches all its shards at once.
    REQUIRE(cell.lostTargets.size() <= QuarantineCell::shards + 1);
}

TEST_CASE("Requests are answered although the owners of their fingerprints are dead")
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

TEST_CASE("A second sub-request of a canary violates the invariant")
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
    REQUIRE(quarantine.decide(request, entry, context.now, context)
            == QuarantineDecision::RunCanary);
    SendSubRequest sent;
    sent.query = request.query;
    sent.attempt = AttemptId(1);
    quarantine.onSent(sent, context);
    sent.attempt = AttemptId(2);
    REQUIRE_THROWS_AS(quarantine.onSent(sent, context), InvariantViolation);
}

TEST_CASE("The set of known requests is bounded")
{
    KnownRequests known;
    for (std::uint64_t i = 0; i < 200000; ++i) {
        known.add(Fingerprint(i), Instant(seconds(1)));
    }
    REQUIRE(known.size() <= 2 * 32768);
    REQUIRE(known.contains(Fingerprint(199999)));
}

TEST_CASE("Fingerprints differ for different entries and bodies")
{
    const auto a = fingerprintOf(EntryName("a"), *poison());
    REQUIRE(a == fingerprintOf(EntryName("a"), *poison()));
    REQUIRE(a != fingerprintOf(EntryName("b"), *poison()));
    REQUIRE(a != fingerprintOf(EntryName("a"), "{}"));
}
