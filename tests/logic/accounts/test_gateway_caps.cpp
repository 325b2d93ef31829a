// The caps of accounts as a gateway applies them to callers' requests.

#include "tests/logic/gateway/gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

RoutingConfig configWithCap(double perSecond, double burst)
{
    RoutingConfig config = configOf({plainRoute("/p/", "g", true)});
    ClientAccount account;
    account.name = "acme";
    account.keys = {"key"};
    account.requestsPerSecond = perSecond;
    account.burst = burst;
    config.accounts = {account};
    return config;
}

/// A gateway in a fleet of four instances, with an account that has a cap.
class CapsFixture
{
public:
    CapsFixture() : harness(configWithCap(1.0, 1.0), {target("t", "g")})
    {
        this->harness.answerWatch({GatewayHarness::memberChange("b", "b:1"),
                                   GatewayHarness::memberChange("c", "c:1"),
                                   GatewayHarness::memberChange("d", "d:1")});
        this->harness.accountAsks.clear();
    }

    ExchangeId send(const std::string &key = "key")
    {
        ForwardedRequest request;
        request.method = "GET";
        request.path = "/p/x";
        request.host = "h";
        request.requestId = "r" + std::to_string(++this->harness.lastExchange);
        request.accountKey = key;
        const ExchangeId id(this->harness.lastExchange);
        this->harness.apply(
                RequestArrived {id, std::make_shared<const ForwardedRequest>(std::move(request))});
        return id;
    }

    /// Lets all holders answer what they were asked.
    void answerAll(std::uint32_t granted)
    {
        for (const AskAccountTokens &ask : std::exchange(this->harness.accountAsks, {})) {
            AccountTokensGranted event {ask.receiver, ask.number, {}};
            for (const AccountWish &wish : ask.wishes) {
                event.tokens.push_back(
                        {wish.account, granted, false, milliseconds(700), milliseconds(1000)});
            }
            this->harness.apply(event);
        }
    }

    GatewayHarness harness;
};

} // namespace

TEST_CASE("a request of a capped account starts when a majority has granted a token")
{
    CapsFixture fixture;
    fixture.send();
    CHECK(fixture.harness.accountAsks.size() == 3);
    CHECK(fixture.harness.started.empty());
    CHECK(fixture.harness.gateway.status(fixture.harness.now).exchanges == 1);
    CHECK_FALSE(fixture.harness.gateway.isIdle());
    fixture.answerAll(1);
    CHECK(fixture.harness.started.size() == 1);
}

TEST_CASE("a request beyond the cap gets 429 with the holders' time of return")
{
    CapsFixture fixture;
    const ExchangeId exchange = fixture.send();
    fixture.answerAll(0);
    const auto answer = fixture.harness.answerOf(exchange);
    REQUIRE(answer);
    CHECK(answer->status == 429);
    CHECK(answer->retryAfter == milliseconds(700));
    CHECK(fixture.harness.started.empty());
    CHECK(fixture.harness.gateway.isIdle());
    const auto usage = fixture.harness.gateway.status(fixture.harness.now).accountUsage;
    CHECK(usage.at("acme") == AccountDecisions {0, 1, 0});
    bool isCauseLogged = false;
    for (const WriteLog &log : fixture.harness.logs) {
        for (const LogField &field : log.fields) {
            isCauseLogged = isCauseLogged
                    || (log.event == LogEvent::RequestTroubled
                        && field.value == "account-cap-reached");
        }
    }
    CHECK(isCauseLogged);
}

TEST_CASE("members that answer nothing delay a request by 25 ms at most")
{
    CapsFixture fixture;
    const ExchangeId exchange = fixture.send();
    fixture.harness.advance(milliseconds(26));
    CHECK(fixture.harness.answerOf(exchange).has_value() != (fixture.harness.started.size() == 1));
}

TEST_CASE("a caller that leaves while its request waits for tokens gets no answer and no run")
{
    CapsFixture fixture;
    const ExchangeId exchange = fixture.send();
    fixture.harness.apply(CallerLeft {exchange});
    CHECK(fixture.harness.gateway.isIdle());
    fixture.answerAll(1);
    fixture.harness.advance(milliseconds(100));
    CHECK(fixture.harness.started.empty());
    CHECK(fixture.harness.answers.empty());
    // The tokens go back.
    CHECK(fixture.harness.accountAsks.size() == 3);
    for (const AskAccountTokens &ask : fixture.harness.accountAsks) {
        CHECK(ask.wishes == std::vector<AccountWish> {{"acme", 0, 1, 0}});
    }
}

TEST_CASE("a request that waits for tokens when the instance is asked to stop is still answered")
{
    CapsFixture fixture;
    const ExchangeId exchange = fixture.send();
    fixture.harness.apply(GatewayStopRequested {});
    fixture.answerAll(1);
    REQUIRE(fixture.harness.started.size() == 1);
    fixture.harness.reply(fixture.harness.started[0].attempt, ReplyClass::Success);
    REQUIRE(fixture.harness.answerOf(exchange));
    CHECK(fixture.harness.answerOf(exchange)->status == 200);
}

TEST_CASE("a delegated request is not decided again")
{
    CapsFixture fixture;
    GatewaySettings settings = GatewayHarness::settingsOf({0.2, 60.0, std::chrono::seconds(10)});
    settings.processorShare = 1.0;
    settings.linkMbps = 1000.0;
    GatewayHarness harness(settings, configWithCap(1.0, 1.0), {target("t", "g")});
    ForwardedRequest request;
    request.method = "GET";
    request.path = "/p/x";
    request.host = "h";
    request.account = "acme";
    DelegatedRequest query;
    query.number = 1;
    query.request = std::make_shared<const ForwardedRequest>(std::move(request));
    query.sentAt = harness.now;
    query.objectiveLeft = milliseconds(100);
    query.timeLeft = milliseconds(1000);
    query.minConfigVersion = 1;
    harness.apply(RequestDelegated {InstanceId("b"), "b:1", query});
    CHECK(harness.accountAsks.empty());
    CHECK(harness.started.size() == 1);
}

TEST_CASE("a gateway answers members that ask it for tokens")
{
    CapsFixture fixture;
    fixture.harness.apply(AccountTokensAsked {"b:1", 9, {{"acme", 5, 0, 0}, {"else", 1, 0, 0}}});
    REQUIRE(fixture.harness.accountGrants.size() == 1);
    const GrantAccountTokens &grant = fixture.harness.accountGrants[0];
    CHECK(grant.receiver == "b:1");
    CHECK(grant.number == 9);
    REQUIRE(grant.tokens.size() == 2);
    CHECK(grant.tokens[0].granted == 2);
    CHECK(grant.tokens[0].retryAfter > Duration(0));
    CHECK(grant.tokens[1].isUnknown);
}

TEST_CASE("an account without a cap asks nobody")
{
    GatewayHarness harness(configWithCap(0.0, 0.0), {target("t", "g")});
    ForwardedRequest request;
    request.method = "GET";
    request.path = "/p/x";
    request.host = "h";
    request.accountKey = "key";
    harness.apply(RequestArrived {ExchangeId(1),
                                  std::make_shared<const ForwardedRequest>(std::move(request))});
    CHECK(harness.accountAsks.empty());
    CHECK(harness.started.size() == 1);
}
