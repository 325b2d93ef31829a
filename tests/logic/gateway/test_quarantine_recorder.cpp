#include "gateway_fixture.h"

#include "logic/gateway/quarantine_recorder.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr std::uint64_t request = 77;
constexpr Duration blocked = std::chrono::seconds(20);

/// Runs a recorder and records its calls of the store.
class RecorderFixture
{
public:
    RecorderFixture() { this->recorder.onObserved(Fingerprint(request)); }

    void quarantine(std::uint32_t crashes, std::uint64_t fingerprint = request)
    {
        GatewayContext context = this->context();
        this->recorder.onQuarantined({fingerprint, crashes}, blocked, context);
    }

    /// Answers the last call. Returns false if there is none of this type.
    template <typename Call>
    bool answer(StoreCallStatus status = StoreCallStatus::Done)
    {
        const auto *last = this->calls() == 0 ? nullptr : &this->lastCall();
        if (last == nullptr || !std::holds_alternative<Call>(last->call)) {
            return false;
        }
        StoreAnswered event {last->operation, {}};
        event.answer.status = status;
        event.answer.lease = 5;
        GatewayContext context = this->context();
        this->recorder.onAnswer(event, context);
        return true;
    }

    void advance(Duration duration)
    {
        this->now += duration;
        GatewayContext context = this->context();
        this->recorder.onTimer(context);
    }

    const CallStore &lastCall() const { return std::get<CallStore>(this->effects.back()); }
    std::size_t calls() const { return this->effects.size(); }
    GatewayContext context() { return {this->now, this->effects, this->random, this->ids}; }

    Instant now {std::chrono::seconds(100)};
    RandomEngine random;
    IdSource ids;
    std::vector<GatewayEffect> effects;
    QuarantineRecorder recorder {GatewaySettings {}};
};

} // namespace

TEST_CASE("an observed quarantine is recorded for as long as it holds")
{
    RecorderFixture fixture;
    fixture.quarantine(4);
    REQUIRE(fixture.calls() == 1);
    CHECK(std::get<GrantLease>(fixture.lastCall().call).timeToLive == blocked);
    REQUIRE(fixture.answer<GrantLease>());
    const auto record = std::get<RecordQuarantine>(fixture.lastCall().call);
    CHECK(record.quarantine == QuarantineRecord {request, 4});
    CHECK(record.lease == 5);
    REQUIRE(fixture.answer<RecordQuarantine>());
    // Nothing is written again, until there is more to tell.
    fixture.quarantine(4);
    CHECK(fixture.calls() == 2);
    fixture.quarantine(6);
    CHECK(fixture.calls() == 3);
    CHECK(fixture.recorder.nextTimer() == Instant::max());
}

TEST_CASE("a quarantine that another member observed or recorded is not written again")
{
    RecorderFixture fixture;
    fixture.quarantine(4, request + 1);
    CHECK(fixture.calls() == 0);
    fixture.recorder.onRecorded({request, 4});
    fixture.quarantine(4);
    CHECK(fixture.calls() == 0);
}

TEST_CASE("store outage: a quarantine is recorded later if it still holds")
{
    RecorderFixture fixture;
    fixture.quarantine(3);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(fixture.answer<GrantLease>(StoreCallStatus::NoAnswer));
        const std::size_t calls = fixture.calls();
        fixture.advance(milliseconds(100));
        CHECK(fixture.calls() == calls);
        fixture.advance(milliseconds(1000));
        CHECK(fixture.calls() == calls + 1);
    }
    SECTION("it holds")
    {
        CHECK(std::get<GrantLease>(fixture.lastCall().call).timeToLive < blocked);
        REQUIRE(fixture.answer<GrantLease>());
        CHECK(fixture.answer<RecordQuarantine>());
    }
    SECTION("it is over")
    {
        REQUIRE(fixture.answer<GrantLease>(StoreCallStatus::NoAnswer));
        const std::size_t calls = fixture.calls();
        fixture.advance(blocked);
        CHECK(fixture.calls() == calls);
        CHECK(fixture.recorder.nextTimer() == Instant::max());
    }
}

TEST_CASE("a record is written again after the store was restored from a copy")
{
    RecorderFixture fixture;
    GatewayContext context = fixture.context();
    fixture.recorder.onHistory(1, context);
    fixture.quarantine(3);
    fixture.answer<GrantLease>();
    fixture.answer<RecordQuarantine>();
    const std::size_t calls = fixture.calls();
    fixture.recorder.onHistory(1, context);
    CHECK(fixture.calls() == calls);
    fixture.recorder.onHistory(2, context);
    CHECK(fixture.calls() == calls + 1);
    CHECK(fixture.answer<GrantLease>());
    CHECK(fixture.answer<RecordQuarantine>());
}

TEST_CASE("the record of a request that a target answered is removed")
{
    RecorderFixture fixture;
    fixture.quarantine(3);
    fixture.answer<GrantLease>();
    SECTION("it is being written")
    {
        GatewayContext context = fixture.context();
        fixture.recorder.onCleared(Fingerprint(request), context);
        CHECK(fixture.recorder.nextTimer() == Instant::max());
    }
    SECTION("it is written")
    {
        fixture.answer<RecordQuarantine>();
        GatewayContext context = fixture.context();
        fixture.recorder.onCleared(Fingerprint(request), context);
        CHECK(std::get<EndLease>(fixture.lastCall().call).lease == 5);
    }
}

TEST_CASE("a quarantine in the store is taken over, but not renewed each time that it is read")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}),
                           {target("t0", "g"), target("t1", "g")});
    harness.sendRequest("/p/bad");
    while (harness.started.size() < 2) {
        harness.apply(AttemptEnded {harness.started.back().attempt, AttemptEndKind::Lost});
    }
    harness.apply(AttemptEnded {harness.started.back().attempt, AttemptEndKind::Lost});
    harness.apply(LearnedStateRequested {"127.0.0.1:7001"});
    const std::uint64_t fingerprint =
            harness.learnedStates.back().state.suspects.at(0).fingerprint.value;
    // Two crashes are not enough; the store knows of three.
    harness.answerWatch({GatewayHarness::quarantineChange({fingerprint, 3})});
    const auto isRefused = [&] {
        const std::size_t before = harness.started.size();
        const ExchangeId id = harness.sendRequest("/p/bad");
        return harness.started.size() == before && harness.answerOf(id)->status == 503;
    };
    CHECK(isRefused());
    for (int i = 0; i < 10; ++i) {
        harness.answerWatch({GatewayHarness::quarantineChange({fingerprint, 3})});
        harness.advance(milliseconds(1000));
    }
    CHECK_FALSE(isRefused());
}

// Guards against members of two versions that read the store anew because of keys that one ignores.
TEST_CASE("quarantines don't count when members compare what they know of the store")
{
    const auto digestWith = [](std::vector<StoreChange> changes) {
        GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}), {target("t0", "g")});
        changes.push_back(GatewayHarness::memberChange("a", "127.0.0.1:7000"));
        changes.push_back(GatewayHarness::memberChange("b", "127.0.0.1:7001"));
        harness.answerWatch(std::move(changes));
        harness.answerWatch({});
        return harness.updates.back().update->digest;
    };
    CHECK(digestWith({}) == digestWith({GatewayHarness::quarantineChange({request, 3})}));
}
