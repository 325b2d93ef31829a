// A store that is restored from a copy begins a new history and gives out revisions and leases
// again.

#include "gateway_fixture.h"
#include "logic/gateway/registration.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

RoutingConfig configWithVersion(std::uint64_t version)
{
    return configOf({plainRoute("/p/", "g", true)}, version);
}

StoreAnswer answerOf(std::uint64_t history, std::uint64_t revision,
                     std::vector<StoreChange> changes = {})
{
    StoreAnswer answer;
    answer.status = StoreCallStatus::Done;
    answer.history = history;
    answer.revision = revision;
    answer.changes = std::move(changes);
    return answer;
}

/// A gateway that has read configuration 5 and target t in history 1, up to revision 20.
GatewayHarness gatewayInFirstHistory()
{
    GatewayHarness harness(configWithVersion(5), {target("t", "g"), target("u", "g")});
    harness.advance(milliseconds(1300));
    // The first answer that tells a history makes everything be read again.
    REQUIRE(harness.answerStore<WatchStore>(answerOf(1, 20)));
    REQUIRE(harness.answerStore<ReadStore>(
            answerOf(1, 20,
                     {GatewayHarness::configChange(configWithVersion(5), 2),
                      GatewayHarness::targetChange(target("t", "g"), 3),
                      GatewayHarness::targetChange(target("u", "g"), 4)})));
    harness.advance(std::chrono::seconds(3));
    return harness;
}

/// What the copy holds: configuration 4 and both targets.
std::vector<StoreChange> copyOfStore()
{
    return {GatewayHarness::configChange(configWithVersion(4), 1),
            GatewayHarness::targetChange(target("t", "g"), 3),
            GatewayHarness::targetChange(target("u", "g"), 4)};
}

std::uint64_t configVersion(GatewayHarness &harness)
{
    return harness.gateway.status(harness.now).configVersion;
}

std::set<TargetId> usedTargets(GatewayHarness &harness)
{
    std::set<TargetId> used;
    for (int i = 0; i < 20; ++i) {
        const std::size_t before = harness.started.size();
        harness.sendRequest("/p/x" + std::to_string(i));
        for (std::size_t at = before; at < harness.started.size(); ++at) {
            used.insert(harness.started[at].target);
            harness.reply(harness.started[at].attempt, ReplyClass::Success);
        }
    }
    return used;
}

template <typename Call>
const Call *pendingCall(const GatewayHarness &harness)
{
    const Call *found = nullptr;
    for (const CallStore &call : harness.calls) {
        if (const auto *body = std::get_if<Call>(&call.call)) {
            found = body;
        }
    }
    return found;
}

StoreUpdateReceived updateOf(std::uint64_t history, std::uint64_t from, std::uint64_t to,
                             std::vector<StoreChange> changes = {})
{
    StoreUpdateReceived received {"127.0.0.1:9", {from, to, std::move(changes)}};
    received.update.history = history;
    return received;
}

} // namespace

// Guards against a watch from a revision of the old history: what the new one holds before it is
// never seen.
TEST_CASE("restored store: an answer to a watch from the old history is dropped and all is read")
{
    GatewayHarness harness = gatewayInFirstHistory();
    REQUIRE(harness.answerStore<WatchStore>(
            answerOf(2, 22, {GatewayHarness::configChange(configWithVersion(7), 22)})));
    CHECK(configVersion(harness) == 5);
    REQUIRE(harness.answerStore<ReadStore>(
            answerOf(2, 22,
                     {GatewayHarness::configChange(configWithVersion(7), 22),
                      GatewayHarness::targetChange(target("u", "g"), 21)})));
    CHECK(configVersion(harness) == 7);
    harness.advance(milliseconds(400));
    const auto *watch = pendingCall<WatchStore>(harness);
    REQUIRE(watch != nullptr);
    CHECK(watch->afterRevision == 22);
}

// Guards against pages of two histories that are taken for one state.
TEST_CASE("restored store: a full read begins anew when a page is of another history")
{
    GatewayHarness harness = gatewayInFirstHistory();
    StoreAnswer gone;
    gone.status = StoreCallStatus::HistoryGone;
    gone.history = 1;
    REQUIRE(harness.answerStore<WatchStore>(gone));
    StoreAnswer page = answerOf(1, 30, {GatewayHarness::targetChange(target("t", "g"), 3)});
    page.hasMore = true;
    page.lastKey = "targets/t";
    REQUIRE(harness.answerStore<ReadStore>(page));
    REQUIRE(harness.answerStore<ReadStore>(
            answerOf(2, 25, {GatewayHarness::targetChange(target("u", "g"), 4)})));
    const auto *read = pendingCall<ReadStore>(harness);
    REQUIRE(read != nullptr);
    CHECK(read->afterKey.empty());
}

// Guards against an answer from before the restore that undoes what came after it.
TEST_CASE("restored store: a late answer of the old history is dropped")
{
    GatewayHarness harness = gatewayInFirstHistory();
    harness.apply(updateOf(2, 10, 12));
    harness.advance(milliseconds(400));
    REQUIRE(harness.answerStore<ReadStore>(
            answerOf(1, 40, {GatewayHarness::configChange(configWithVersion(9), 40)})));
    CHECK(configVersion(harness) == 5);
    harness.advance(milliseconds(400));
    CHECK(pendingCall<ReadStore>(harness) != nullptr);
}

// Guards against a confirmed configuration that comes back older from the copy.
TEST_CASE("restored store: an older configuration is not adopted, nor handed to other members")
{
    GatewayHarness harness = gatewayInFirstHistory();
    harness.answerStore<WatchStore>(answerOf(2, 8));
    REQUIRE(harness.answerStore<ReadStore>(answerOf(2, 8, copyOfStore())));
    CHECK(configVersion(harness) == 5);
    harness.updates.clear();
    StoreUpdateReceived request {"127.0.0.1:9", {}};
    request.update.isStateRequest = true;
    harness.apply(request);
    REQUIRE(harness.updates.size() == 1);
    std::uint64_t handed = 0;
    for (const StoreChange &change : harness.updates[0].update->changes) {
        if (const auto *config = std::get_if<RoutingConfigPtr>(&change.content)) {
            CHECK(handed == 0);
            handed = (*config)->version;
        }
    }
    CHECK(handed == 5);
    CHECK(harness.updates[0].update->history == 2);
}

// Guards against an instance that is started after the restore and serves the copy's configuration.
TEST_CASE("restored store: an instance with an older configuration gets the newer one of a member")
{
    GatewayHarness harness = gatewayInFirstHistory();
    harness.updates.clear();
    StoreUpdateReceived update = updateOf(1, 20, 20);
    update.update.configVersion = 6;
    harness.apply(update);
    REQUIRE(harness.updates.size() == 1);
    CHECK(harness.updates[0].update->isStateRequest);
    CHECK(harness.updates[0].receivers == std::vector<std::string> {"127.0.0.1:9"});
    StoreUpdateReceived state =
            updateOf(1, 0, 20, {GatewayHarness::configChange(configWithVersion(6), 25)});
    state.update.isFullState = true;
    harness.apply(state);
    CHECK(configVersion(harness) == 6);
    // The targets are those of the store.
    CHECK(usedTargets(harness).size() == 2);
}

// Guards against a target that left after the copy was made and is used again.
TEST_CASE("restored store: a target that had left or was leaving is not used again for the copy")
{
    GatewayHarness harness = gatewayInFirstHistory();
    StoreChange withdrawal = GatewayHarness::removal("t");
    if (GENERATE(false, true)) {
        TargetRecord leaving = target("t", "g");
        leaving.leaving = true;
        withdrawal = GatewayHarness::targetChange(leaving, 21);
    }
    withdrawal.revision = 21;
    REQUIRE(harness.answerStore<WatchStore>(answerOf(1, 21, {withdrawal})));
    harness.advance(milliseconds(400));
    REQUIRE(usedTargets(harness) == std::set {TargetId("u")});
    harness.answerStore<WatchStore>(answerOf(2, 8));
    REQUIRE(harness.answerStore<ReadStore>(answerOf(2, 8, copyOfStore())));
    CHECK(usedTargets(harness) == std::set {TargetId("u")});
    SECTION("its removal is written again")
    {
        harness.advance(milliseconds(400));
        StoreChange removal = GatewayHarness::removal("t");
        removal.revision = 9;
        REQUIRE(harness.answerStore<WatchStore>(answerOf(2, 9, {removal})));
        harness.advance(std::chrono::seconds(4));
        CHECK(usedTargets(harness) == std::set {TargetId("u")});
    }
    SECTION("its entry is written again")
    {
        harness.advance(milliseconds(400));
        REQUIRE(harness.answerStore<WatchStore>(
                answerOf(2, 9, {GatewayHarness::targetChange(target("t", "g"), 9)})));
        CHECK(usedTargets(harness).size() == 2);
    }
    SECTION("the store keeps it")
    {
        harness.advance(std::chrono::seconds(4));
        CHECK(usedTargets(harness).size() == 2);
    }
}

TEST_CASE("restored store: targets that the copy does not have yet are kept until they can be "
          "written again")
{
    GatewayHarness harness = gatewayInFirstHistory();
    harness.answerStore<WatchStore>(answerOf(2, 8));
    REQUIRE(harness.answerStore<ReadStore>(
            answerOf(2, 8, {GatewayHarness::targetChange(target("u", "g"), 4)})));
    CHECK(usedTargets(harness).size() == 2);
    harness.advance(std::chrono::seconds(4));
    CHECK(usedTargets(harness) == std::set {TargetId("u")});
}

// Guards against members that compare revisions of different histories.
TEST_CASE("restored store: updates of members apply only within one history")
{
    GatewayHarness harness = gatewayInFirstHistory();
    StoreChange removal = GatewayHarness::removal("t");
    SECTION("an update of the new history makes all be read")
    {
        removal.revision = 21;
        harness.apply(updateOf(2, 20, 21, {removal}));
        CHECK(usedTargets(harness).size() == 2);
        harness.advance(milliseconds(400));
        CHECK(pendingCall<ReadStore>(harness) != nullptr);
    }
    SECTION("an update of the old history is dropped")
    {
        harness.answerStore<WatchStore>(answerOf(2, 8));
        REQUIRE(harness.answerStore<ReadStore>(answerOf(2, 8, copyOfStore())));
        removal.revision = 9;
        harness.apply(updateOf(1, 8, 9, {removal}));
        CHECK(usedTargets(harness).size() == 2);
        CHECK(configVersion(harness) == 5);
    }
}

namespace {

/// A registration with its effects.
class RegistrationHarness
{
public:
    RegistrationHarness()
    {
        GatewayContext context = this->context();
        this->registration.start(context);
    }

    /// Answers the pending call, which must be of the given type.
    template <typename Call>
    void answer(std::uint64_t history, std::uint64_t lease = 0,
                StoreCallStatus status = StoreCallStatus::Done)
    {
        REQUIRE(this->pending<Call>() != nullptr);
        const auto operation = std::get<CallStore>(this->effects.back()).operation;
        StoreAnswer answer;
        answer.status = status;
        answer.history = history;
        answer.lease = lease;
        GatewayContext context = this->context();
        this->registration.onAnswer({operation, answer}, context);
    }

    template <typename Call>
    const Call *pending() const
    {
        const auto *call =
                this->effects.empty() ? nullptr : std::get_if<CallStore>(&this->effects.back());
        return call == nullptr ? nullptr : std::get_if<Call>(&call->call);
    }

    void advance(Duration duration)
    {
        this->now += duration;
        GatewayContext context = this->context();
        this->registration.onTimer(context);
    }

    GatewayContext context() { return {this->now, this->effects, this->random, this->ids}; }

    Instant now {std::chrono::seconds(100)};
    std::vector<GatewayEffect> effects;
    RandomEngine random {3};
    IdSource ids;
    Registration registration {GatewayHarness::settingsOf({0.2, 60.0, std::chrono::seconds(10)})};
};

} // namespace

// Guards against an instance that renews the lease of another one and is not registered itself.
TEST_CASE("restored store: an instance registers again under a new lease")
{
    enum class Notice { Registering, Renewing, Otherwise };
    RegistrationHarness harness;
    harness.answer<GrantLease>(1, 7);
    const Notice notice = GENERATE(Notice::Registering, Notice::Renewing, Notice::Otherwise);
    harness.answer<RegisterMember>(notice == Notice::Registering ? 2 : 1);
    GatewayContext context = harness.context();
    if (notice == Notice::Renewing) {
        harness.advance(std::chrono::seconds(5));
        harness.answer<RenewLease>(2);
    } else if (notice == Notice::Otherwise) {
        harness.registration.onHistory(2, context);
    }
    harness.effects.clear();
    SECTION("within a second")
    {
        harness.advance(milliseconds(1100));
        CHECK(harness.pending<GrantLease>() != nullptr);
    }
    SECTION("when it stops before, it leaves the lease of another instance alone")
    {
        harness.registration.withdraw(context);
        CHECK(harness.effects.empty());
    }
}

TEST_CASE("restored store: the new lease replaces the old one")
{
    RegistrationHarness harness;
    harness.answer<GrantLease>(1, 7);
    harness.answer<RegisterMember>(1);
    harness.advance(std::chrono::seconds(5));
    harness.answer<RenewLease>(2);
    harness.advance(milliseconds(1100));
    harness.answer<GrantLease>(2, 5);
    REQUIRE(harness.pending<RegisterMember>() != nullptr);
    CHECK(harness.pending<RegisterMember>()->lease == 5);
    harness.answer<RegisterMember>(2);
    harness.advance(std::chrono::seconds(5));
    REQUIRE(harness.pending<RenewLease>() != nullptr);
    CHECK(harness.pending<RenewLease>()->lease == 5);
}

// Guards against an instance that takes itself for registered although its entry was lost.
TEST_CASE("an instance that the store does not list registers again")
{
    RegistrationHarness harness;
    harness.answer<GrantLease>(0, 7);
    harness.answer<RegisterMember>(0);
    harness.advance(std::chrono::seconds(5));
    harness.answer<RenewLease>(0);
    GatewayContext context = harness.context();
    harness.registration.onListed(true, context);
    harness.advance(milliseconds(100));
    CHECK(harness.pending<RenewLease>() != nullptr);
    harness.registration.onListed(false, context);
    harness.advance(milliseconds(100));
    CHECK(harness.pending<RegisterMember>() != nullptr);
}

// Guards against a page of a full read that is taken for the changes since a revision.
TEST_CASE("a page that arrives after a member's state is not taken for changes")
{
    GatewayHarness harness(configWithVersion(5), {target("t", "g"), target("u", "g")});
    harness.advance(milliseconds(1300));
    StoreAnswer gone;
    gone.status = StoreCallStatus::HistoryGone;
    REQUIRE(harness.answerStore<WatchStore>(gone));
    StoreAnswer failed;
    failed.status = StoreCallStatus::Unavailable;
    REQUIRE(harness.answerStore<ReadStore>(failed));
    harness.advance(milliseconds(400));
    StoreUpdateReceived state = updateOf(0, 0, 30,
                                         {GatewayHarness::configChange(configWithVersion(5), 2),
                                          GatewayHarness::targetChange(target("t", "g"), 3),
                                          GatewayHarness::targetChange(target("u", "g"), 4)});
    state.update.isFullState = true;
    harness.apply(state);
    // The page shows the store at revision 35, without target t, which was removed before.
    REQUIRE(harness.answerStore<ReadStore>(
            answerOf(0, 35, {GatewayHarness::targetChange(target("u", "g"), 4)})));
    harness.advance(milliseconds(400));
    const auto *watch = pendingCall<WatchStore>(harness);
    REQUIRE(watch != nullptr);
    CHECK(watch->afterRevision == 30);
}

// Guards against an update that leaves out a change because its sender knew the content already.
TEST_CASE("an update contains changes that the sender has read ahead of its position")
{
    GatewayHarness harness(configWithVersion(5), {target("t", "g")});
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    harness.advance(milliseconds(1300));
    StoreAnswer gone;
    gone.status = StoreCallStatus::HistoryGone;
    REQUIRE(harness.answerStore<WatchStore>(gone));
    // A later page holds a target that was written after the first page was read.
    StoreAnswer page = answerOf(0, 30,
                                {GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                                 GatewayHarness::memberChange("b", "127.0.0.1:7001"),
                                 GatewayHarness::configChange(configWithVersion(5), 2)});
    page.hasMore = true;
    page.lastKey = "members/b";
    REQUIRE(harness.answerStore<ReadStore>(page));
    REQUIRE(harness.answerStore<ReadStore>(
            answerOf(0, 33, {GatewayHarness::targetChange(target("v", "g"), 32)})));
    harness.updates.clear();
    harness.advance(milliseconds(400));
    REQUIRE(harness.answerStore<WatchStore>(
            answerOf(0, 32, {GatewayHarness::targetChange(target("v", "g"), 32)})));
    REQUIRE(harness.updates.size() == 1);
    REQUIRE(harness.updates[0].update->changes.size() == 1);
    CHECK(harness.updates[0].update->changes[0].id == "v");
}

// Guards against a target that is removed and back within one answer and stays removed elsewhere.
TEST_CASE("an update contains a change that brings back what an earlier change had removed")
{
    GatewayHarness harness(configWithVersion(5), {target("t", "g")});
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "127.0.0.1:7001")});
    harness.updates.clear();
    harness.answerWatch(
            {GatewayHarness::removal("t"), GatewayHarness::targetChange(target("t", "g"), 0)});
    REQUIRE(harness.updates.size() == 1);
    CHECK(harness.updates[0].update->changes.size() == 2);
}
