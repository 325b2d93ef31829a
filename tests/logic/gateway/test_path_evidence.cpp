// What distinguishes a broken network path of an instance from faults of single targets.

#include "gateway_fixture.h"

#include "logic/gateway/path_evidence.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

constexpr std::size_t usableTargets = 30;
const TargetId first("a");
const TargetId second("b");
const TargetId third("c");

bool hasLogged(const GatewayHarness &harness, LogEvent event)
{
    return std::ranges::find(harness.logs, event, &WriteLog::event) != harness.logs.end();
}

} // namespace

TEST_CASE("targets that fail while another one answers are no sign of a broken path")
{
    PathEvidence evidence;
    Instant now {std::chrono::seconds(100)};
    evidence.onReply(true, now);
    evidence.onConnectFailed(first, now);
    evidence.onConnectFailed(second, now);
    evidence.onReply(true, now);
    evidence.onConnectFailed(third, now);
    CHECK_FALSE(evidence.suggestsBrokenPath(usableTargets, now));
    evidence.onSilence(std::vector {first, second}, now);
    evidence.onReply(false, now);
    evidence.onSilence(std::vector {third}, now);
    CHECK_FALSE(evidence.suggestsBrokenPath(usableTargets, now));
}

TEST_CASE("replies on old connections don't hide that no new one can be made")
{
    PathEvidence evidence;
    const Instant now {std::chrono::seconds(100)};
    for (const TargetId &target : {first, second, third}) {
        evidence.onConnectFailed(target, now);
        evidence.onReply(false, now);
    }
    CHECK(evidence.suggestsBrokenPath(usableTargets, now));
    SECTION("until a connection is made")
    {
        evidence.onConnected();
    }
    SECTION("until a reply arrives on a new one")
    {
        evidence.onReply(true, now);
    }
    CHECK_FALSE(evidence.suggestsBrokenPath(usableTargets, now));
}

TEST_CASE("one target that fails again and again is no sign of a broken path")
{
    PathEvidence evidence;
    Instant now {std::chrono::seconds(100)};
    for (int i = 0; i < 20; ++i) {
        evidence.onConnectFailed(first, now);
        now += milliseconds(50);
    }
    CHECK_FALSE(evidence.suggestsBrokenPath(usableTargets, now));
    // It is if there is no other one.
    CHECK(evidence.suggestsBrokenPath(1, now));
    CHECK_FALSE(evidence.suggestsBrokenPath(0, now));
}

TEST_CASE("failures of long ago don't count")
{
    PathEvidence evidence;
    Instant now {std::chrono::seconds(100)};
    evidence.onReply(true, now);
    for (const TargetId &target : {first, second, third}) {
        evidence.onConnectFailed(target, now);
        evidence.onReply(false, now);
        now += std::chrono::seconds(3);
    }
    CHECK_FALSE(evidence.suggestsBrokenPath(usableTargets, now));
}

TEST_CASE("an instance that has heard of no target for a while needs fewer failures")
{
    PathEvidence evidence;
    Instant now {std::chrono::seconds(100)};
    evidence.onReply(true, now);
    evidence.onConnectFailed(first, now);
    evidence.onConnectFailed(second, now);
    CHECK_FALSE(evidence.suggestsBrokenPath(usableTargets, now));
    now += std::chrono::seconds(10);
    evidence.onConnectFailed(first, now);
    evidence.onConnectFailed(second, now);
    CHECK(evidence.suggestsBrokenPath(usableTargets, now));
}

TEST_CASE("an instance logs that no target replies any more, and that one does again")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 4, 0.5)}), replicas(4, 2));
    for (int i = 0; i < 20; ++i) {
        harness.sendRequest("/g/x");
        harness.advance(milliseconds(5));
        for (std::size_t at = harness.started.size() - 4; at < harness.started.size(); ++at) {
            harness.reply(harness.started[at].attempt, ReplyClass::Success);
        }
        harness.advance(milliseconds(20));
    }
    CHECK_FALSE(hasLogged(harness, LogEvent::TargetPathSuspected));
    harness.sendRequest("/g/x");
    harness.advance(milliseconds(100));
    CHECK(hasLogged(harness, LogEvent::TargetPathSuspected));
    CHECK_FALSE(hasLogged(harness, LogEvent::TargetPathUp));
    harness.reply(harness.started.back().attempt, ReplyClass::Success);
    CHECK(hasLogged(harness, LogEvent::TargetPathUp));
    CHECK(harness.gateway.status(harness.now).targetReplyAge == Duration(0));
}

TEST_CASE("a target that does not reply while others do is not logged as a broken path")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 4, 0.5)}), replicas(4, 2));
    for (int i = 0; i < 20; ++i) {
        harness.sendRequest("/g/x");
        harness.advance(milliseconds(5));
        for (std::size_t at = harness.started.size() - 3; at < harness.started.size(); ++at) {
            harness.reply(harness.started[at].attempt, ReplyClass::Success);
        }
        harness.advance(milliseconds(40));
    }
    CHECK_FALSE(hasLogged(harness, LogEvent::TargetPathSuspected));
}

TEST_CASE("a process that was paused does not take the pause for a silence of the targets")
{
    GatewayHarness harness(configOf({gatherRoute("/g/", 4, 0.5)}), replicas(4, 2));
    harness.sendRequest("/g/x");
    harness.now += std::chrono::seconds(2);
    harness.apply(ProcessPaused {std::chrono::seconds(2)});
    harness.apply(TimerDue {});
    harness.advance(milliseconds(20));
    CHECK_FALSE(hasLogged(harness, LogEvent::TargetPathSuspected));
}
