// When an instance takes its own path to the targets for broken, and when it uses the path again.

#include "gateway_fixture.h"

#include "logic/gateway/target_path.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

/// Passes evidence to a path and records its probes.
class PathFixture
{
public:
    PathFixture()
    {
        for (const TargetRecord &record : replicas(10, 3)) {
            this->targets.update(record, this->now);
        }
    }

    template <typename Step>
    void apply(Step step)
    {
        GatewayContext context {this->now, this->effects, this->random, this->ids};
        step(context);
    }

    void failConnects(std::size_t count)
    {
        this->apply([&](GatewayContext &context) {
            for (std::size_t i = 0; i < count; ++i) {
                this->path.onConnectFailed(TargetId("t" + std::to_string(i) + "-0"), context);
            }
        });
    }

    void fallSilent()
    {
        this->apply([&](GatewayContext &context) {
            this->path.onSilence(std::vector {TargetId("t0-0"), TargetId("t1-0"), TargetId("t2-0")},
                                 context);
        });
    }

    void reply(bool onNewConnection)
    {
        this->apply([&](GatewayContext &context) { this->path.onReply(onNewConnection, context); });
    }

    /// Lets all probes that were sent end. Returns how many there were.
    std::size_t endProbes(bool connected)
    {
        std::size_t count = 0;
        for (const GatewayEffect &effect : std::exchange(this->effects, {})) {
            if (const auto *probe = std::get_if<ProbePath>(&effect)) {
                ++count;
                this->apply([&](GatewayContext &context) {
                    this->path.onProbed({probe->number, connected}, context);
                });
            }
        }
        return count;
    }

    void breakPath()
    {
        this->fallSilent();
        this->endProbes(false);
        REQUIRE(this->path.state() == PathState::Down);
    }

    /// Advances the clock; the probes end as given.
    void advance(Duration duration, bool connected)
    {
        const Instant end = this->now + duration;
        while (this->path.nextTimer() <= end) {
            this->now = std::max(this->now, this->path.nextTimer());
            this->apply([&](GatewayContext &context) { this->path.onTimer(context); });
            this->endProbes(connected);
        }
        this->now = end;
    }

    /// Returns the fraction of the requests that the path carries now.
    double carriedFraction()
    {
        constexpr int samples = 1000;
        int carried = 0;
        this->apply([&](GatewayContext &context) {
            for (int i = 0; i < samples; ++i) {
                carried += this->path.carriesRequest(context) ? 1 : 0;
            }
        });
        return static_cast<double>(carried) / samples;
    }

    Instant now {std::chrono::seconds(100)};
    RandomEngine random;
    IdSource ids;
    std::vector<GatewayEffect> effects;
    TargetRegistry targets;
    TargetPath path {targets};
};

} // namespace

TEST_CASE("targets that crash together are told from a broken path by probes of others")
{
    PathFixture fixture;
    fixture.reply(true);
    fixture.failConnects(3);
    CHECK(fixture.path.state() == PathState::Suspect);
    CHECK(fixture.endProbes(true) > 0);
    CHECK(fixture.path.state() == PathState::Up);
    CHECK_FALSE(fixture.path.takeChange());
    CHECK(fixture.carriedFraction() == 1.0);
}

TEST_CASE("targets that fail one after the other don't cause probes all the time")
{
    PathFixture fixture;
    std::size_t probes = 0;
    for (int i = 0; i < 500; ++i) {
        fixture.reply(true);
        fixture.failConnects(3);
        probes += fixture.endProbes(true);
        fixture.now += milliseconds(20);
    }
    CHECK(probes <= 30);
    CHECK(fixture.path.state() == PathState::Up);
}

TEST_CASE("the path is down when the probes fail, until one succeeds")
{
    PathFixture fixture;
    fixture.breakPath();
    CHECK(fixture.path.takeChange() == PathChange::Broke);
    CHECK(fixture.path.isSilent(fixture.now));
    CHECK(fixture.carriedFraction() == 0.0);
    fixture.advance(std::chrono::seconds(10), false);
    CHECK(fixture.path.state() == PathState::Down);
    fixture.advance(milliseconds(500), true);
    CHECK(fixture.path.state() == PathState::Recovering);
    CHECK(fixture.path.takeChange() == PathChange::Returned);
}

TEST_CASE("open connections that work don't hide that no new one can be made")
{
    PathFixture fixture;
    fixture.reply(true);
    fixture.failConnects(3);
    fixture.reply(false);
    CHECK(fixture.path.state() == PathState::Suspect);
    fixture.endProbes(false);
    CHECK(fixture.path.state() == PathState::Down);
    fixture.reply(false);
    CHECK(fixture.path.state() == PathState::Down);
    // Requests that no member takes can still use them.
    CHECK_FALSE(fixture.path.isSilent(fixture.now));
    fixture.reply(true);
    CHECK(fixture.path.state() == PathState::Recovering);
}

TEST_CASE("connections that fell silent are told from a broken path")
{
    PathFixture fixture;
    fixture.fallSilent();
    fixture.endProbes(true);
    CHECK(fixture.path.state() == PathState::Up);
    CHECK(fixture.path.takeChange() == PathChange::ConnectionsDied);
}

TEST_CASE("a late reply ends the suspicion of a silent path")
{
    PathFixture fixture;
    fixture.fallSilent();
    fixture.reply(false);
    CHECK(fixture.path.state() == PathState::Up);
    CHECK_FALSE(fixture.path.takeChange());
    // The probes of the earlier suspicion say nothing about the next one.
    fixture.endProbes(false);
    CHECK(fixture.path.state() == PathState::Up);
}

TEST_CASE("a path that works again carries a growing share of the requests")
{
    PathFixture fixture;
    fixture.breakPath();
    fixture.advance(std::chrono::seconds(8), false);
    fixture.advance(milliseconds(500), true);
    REQUIRE(fixture.path.state() == PathState::Recovering);
    const double atFirst = fixture.carriedFraction();
    CHECK(atFirst > 0.0);
    CHECK(atFirst < 0.5);
    fixture.advance(milliseconds(800), true);
    const double later = fixture.carriedFraction();
    CHECK(later > atFirst);
    fixture.advance(std::chrono::seconds(4), true);
    CHECK(fixture.path.state() == PathState::Up);
}

TEST_CASE("flapping: the more often the path breaks, the longer the recovery takes")
{
    PathFixture fixture;
    std::vector<Duration> recoveries;
    for (int i = 0; i < 3; ++i) {
        fixture.breakPath();
        fixture.advance(std::chrono::seconds(2), false);
        while (fixture.path.state() == PathState::Down) {
            fixture.advance(milliseconds(10), true);
        }
        const Instant beganAt = fixture.now;
        while (fixture.path.state() != PathState::Up) {
            fixture.advance(milliseconds(10), true);
        }
        recoveries.push_back(fixture.now - beganAt);
    }
    CHECK(recoveries[1] > recoveries[0]);
    CHECK(recoveries[2] > recoveries[1]);
    // It is forgotten after a quiet time.
    fixture.advance(std::chrono::minutes(1), true);
    fixture.breakPath();
    fixture.advance(std::chrono::seconds(2), false);
    while (fixture.path.state() == PathState::Down) {
        fixture.advance(milliseconds(10), true);
    }
    const Instant beganAt = fixture.now;
    while (fixture.path.state() != PathState::Up) {
        fixture.advance(milliseconds(10), true);
    }
    CHECK(fixture.now - beganAt < recoveries[1]);
}

TEST_CASE("a path that breaks while it recovers is down again")
{
    PathFixture fixture;
    fixture.breakPath();
    fixture.advance(std::chrono::seconds(4), false);
    fixture.advance(milliseconds(500), true);
    REQUIRE(fixture.path.state() == PathState::Recovering);
    fixture.fallSilent();
    CHECK(fixture.path.state() == PathState::Suspect);
    fixture.endProbes(false);
    CHECK(fixture.path.state() == PathState::Down);
}

TEST_CASE("instances that are cut off together don't probe at the same moments")
{
    std::set<Duration> times;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        PathFixture fixture;
        fixture.random.seed(seed);
        fixture.breakPath();
        times.insert(fixture.path.nextTimer() - fixture.now);
    }
    CHECK(times.size() == 20);
    CHECK(*times.rbegin() - *times.begin() > milliseconds(100));
}

TEST_CASE("probes go to different failure domains")
{
    TargetRegistry targets;
    RandomEngine random;
    for (TargetRecord record : replicas(20, 3)) {
        record.failureDomain = FailureDomain(record.id.value.substr(record.id.value.size() - 1));
        targets.update(record, Instant());
    }
    for (int i = 0; i < 50; ++i) {
        std::set<FailureDomain> domains;
        for (const TargetNode *target : targets.pickUsable(3, random)) {
            domains.insert(target->record.failureDomain);
        }
        CHECK(domains.size() == 3);
    }
}
