// The steps by which one member coordinates a gathered request for another one.

#include "gateway_fixture.h"

#include "logic/gateway/coordinator_health.h"
#include "logic/gateway/delegation_intake.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr std::uint64_t configVersion = 7;
constexpr std::size_t shards = 4;

/// Passes queries to an intake and records its replies.
class IntakeFixture
{
public:
    DelegatedRequest query(Duration age = {})
    {
        ForwardedRequest request;
        request.host = "h";
        request.path = "/g/x";
        request.requestId = "r";
        DelegatedRequest query;
        query.number = ++this->lastNumber;
        query.request = std::make_shared<const ForwardedRequest>(request);
        query.sentAt = this->now - age;
        query.objectiveLeft = milliseconds(100);
        query.timeLeft = milliseconds(1000);
        query.minConfigVersion = configVersion;
        return query;
    }

    std::optional<AdmittedRequest> take(const DelegatedRequest &query, bool stopping = false)
    {
        GatewayContext context {this->now, this->effects, this->random, this->ids};
        return this->intake.take({InstanceId("b"), "10.0.0.2:1", query},
                                 {&this->routes, stopping, this->reachesTargets}, context);
    }

    DelegationState offer(std::uint64_t minConfigVersion, const RouteTable *table)
    {
        GatewayContext context {this->now, this->effects, this->random, this->ids};
        this->intake.reply({InstanceId("b"), "10.0.0.2:1", {1, minConfigVersion}},
                           {table, false, this->reachesTargets}, context);
        return std::get<SendOffer>(this->effects.back()).offer.state;
    }

    /// Returns why the last query was declined.
    DelegationState declinedState() const
    {
        return std::get<SendReceipt>(this->effects.back()).receipt.state;
    }

    Instant now {std::chrono::seconds(100)};
    RandomEngine random;
    IdSource ids;
    std::vector<GatewayEffect> effects;
    RouteTable routes {std::make_shared<const RoutingConfig>(configOf(
            {gatherRoute("/g/", shards, 0.5), plainRoute("/p/", "g", true)}, configVersion))};
    DelegationIntake intake {400};
    bool reachesTargets = true;
    std::uint64_t lastNumber = 0;
};

} // namespace

TEST_CASE("a delegated query keeps the times of its sender")
{
    IntakeFixture fixture;
    const auto taken = fixture.take(fixture.query(milliseconds(4)));
    REQUIRE(taken);
    CHECK(taken->objectiveAt == fixture.now + milliseconds(96));
    CHECK(taken->deadlineAt == fixture.now + milliseconds(996));
    CHECK(taken->route->gathers());
    CHECK(taken->origin->number == 1);
}

TEST_CASE("a query that was held up, or sent to an earlier run of the process, is not started")
{
    IntakeFixture fixture;
    CHECK_FALSE(fixture.take(fixture.query(milliseconds(80))));
    CHECK(fixture.declinedState() == DelegationState::Expired);
    // The clock of this machine has been set back by a restart since the offer.
    CHECK_FALSE(fixture.take(fixture.query(-std::chrono::hours(1))));
    CHECK(fixture.declinedState() == DelegationState::Expired);
}

TEST_CASE("an instance that stops or knows an older configuration declines")
{
    IntakeFixture fixture;
    CHECK_FALSE(fixture.take(fixture.query(), true));
    CHECK(fixture.declinedState() == DelegationState::Leaving);
    DelegatedRequest newer = fixture.query();
    newer.minConfigVersion = configVersion + 1;
    CHECK_FALSE(fixture.take(newer));
    CHECK(fixture.declinedState() == DelegationState::Outdated);
    CHECK(fixture.offer(configVersion + 1, &fixture.routes) == DelegationState::Outdated);
    CHECK(fixture.offer(0, nullptr) == DelegationState::Outdated);
    CHECK(fixture.offer(configVersion, &fixture.routes) == DelegationState::Accepted);
}

TEST_CASE("a request without a route is not taken")
{
    IntakeFixture fixture;
    ForwardedRequest request;
    request.host = "h";
    request.path = "/none/x";
    DelegatedRequest query = fixture.query();
    query.request = std::make_shared<const ForwardedRequest>(request);
    CHECK_FALSE(fixture.take(query));
    CHECK(fixture.declinedState() == DelegationState::Outdated);
}

TEST_CASE("a request of a route that does not gather is taken as one part")
{
    IntakeFixture fixture;
    ForwardedRequest request;
    request.host = "h";
    request.path = "/p/x";
    std::size_t taken = 0;
    for (int i = 0; i < 10000; ++i) {
        fixture.now += std::chrono::milliseconds(1);
        DelegatedRequest query = fixture.query();
        query.request = std::make_shared<const ForwardedRequest>(request);
        const auto admitted = fixture.take(query);
        CHECK((!admitted || !admitted->route->gathers()));
        taken += admitted ? 1 : 0;
    }
    CHECK(taken <= 400 * 11);
    CHECK(taken >= 400 * 9);
}

TEST_CASE("an instance that does not reach the targets takes no request")
{
    IntakeFixture fixture;
    fixture.reachesTargets = false;
    CHECK_FALSE(fixture.take(fixture.query()));
    CHECK(fixture.declinedState() == DelegationState::Unreachable);
    CHECK(fixture.offer(configVersion, &fixture.routes) == DelegationState::Unreachable);
}

TEST_CASE("a coordinator takes no more queries than its capacity allows")
{
    IntakeFixture fixture;
    std::size_t taken = 0;
    for (int i = 0; i < 10000; ++i) {
        fixture.now += std::chrono::milliseconds(1);
        taken += fixture.take(fixture.query()) ? 1 : 0;
    }
    // 400 parts per second for 10 s, and a burst at the beginning.
    CHECK(taken * shards <= 400 * 11);
    CHECK(taken * shards >= 400 * 9);
    CHECK(fixture.offer(configVersion, &fixture.routes) == DelegationState::Busy);
}

TEST_CASE("a silent coordinator is avoided for longer each time until it reacts")
{
    CoordinatorHealth health;
    const InstanceId coordinator("c");
    Instant now {std::chrono::seconds(100)};
    CHECK_FALSE(health.isAvoided(coordinator, now));
    Duration previous {};
    for (int i = 0; i < 3; ++i) {
        health.onSilent(coordinator, now);
        Duration avoided {};
        while (health.isAvoided(coordinator, now)) {
            now += milliseconds(100);
            avoided += milliseconds(100);
        }
        CHECK(avoided > previous);
        previous = avoided;
    }
    health.onSilent(coordinator, now);
    health.onReacted(coordinator);
    CHECK_FALSE(health.isAvoided(coordinator, now));
    // A reaction does not end the avoidance of a coordinator that has no capacity.
    health.onDeclined(coordinator, milliseconds(300), now);
    health.onReacted(coordinator);
    CHECK(health.isAvoided(coordinator, now));
}
