// Requests of client accounts: who is admitted, and what targets and members are told.

#include "gateway_fleet.h"

#include "logic/gateway/delegation_intake.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

namespace {

const std::string key = "k-acme-41";
const std::string urgentKey = "k-urgent-17";

std::vector<ClientAccount> accounts()
{
    ClientAccount acme;
    acme.name = "acme";
    acme.keys = {key};
    ClientAccount urgent;
    urgent.name = "urgent";
    urgent.keys = {urgentKey};
    urgent.priority = 0;
    return {acme, urgent};
}

/// A plain, a public and a gathering route, all with priority 1, and two accounts.
RoutingConfig config(std::uint64_t version = 5)
{
    Route open = plainRoute("/open/", "g", true);
    open.isPublic = true;
    std::vector<Route> routes {plainRoute("/p/", "g", true), open, gatherRoute("/g/", 2, 0.5)};
    for (Route &route : routes) {
        route.priority = 1;
    }
    RoutingConfig config = configOf(std::move(routes), version);
    config.accounts = accounts();
    return config;
}

std::vector<TargetRecord> targets()
{
    std::vector<TargetRecord> all = replicas(2, 2);
    for (const char *id : {"t", "u", "v", "w"}) {
        all.push_back(target(id, "g"));
    }
    return all;
}

GatewayHarness gateway()
{
    return GatewayHarness(config(), targets());
}

/// Checks that a request which is sent to a target or a member names the account and has no key.
void checkSent(const ForwardedRequest &request, const std::string &account)
{
    CHECK(request.account == account);
    CHECK(request.accountKey.empty());
    CHECK(request.identityFields.empty());
}

/// Checks that neither a log line nor an answer contains one of the keys.
void checkSilent(const GatewayHarness &harness)
{
    const auto containsKey = [](const std::string &text) {
        return text.find("k-acme") != std::string::npos
                || text.find("k-urgent") != std::string::npos;
    };
    for (const WriteLog &log : harness.logs) {
        for (const LogField &field : log.fields) {
            INFO(field.name << " is " << field.value);
            CHECK_FALSE(containsKey(field.value));
        }
    }
    for (const auto &[exchange, replies] : harness.answers) {
        for (const CallerReply &reply : replies) {
            CHECK_FALSE(containsKey(reply.detail));
        }
    }
}

std::string lastLogField(const GatewayHarness &harness, const std::string &name)
{
    REQUIRE_FALSE(harness.logs.empty());
    for (const LogField &field : harness.logs.back().fields) {
        if (field.name == name) {
            return field.value;
        }
    }
    return "";
}

/// A gateway with two other members that can't reach the targets.
GatewayHarness strandedGateway()
{
    GatewayHarness harness = gateway();
    harness.answerWatch({GatewayHarness::memberChange("a", "127.0.0.1:7000"),
                         GatewayHarness::memberChange("b", "10.0.0.2:1"),
                         GatewayHarness::memberChange("c", "10.0.0.3:1")});
    harness.calls.clear();
    harness.accountKey = key;
    harness.sendRequest("/p/first");
    for (std::size_t at = 0; at < harness.started.size(); ++at) {
        harness.apply(AttemptEnded {harness.started[at].attempt, AttemptEndKind::Unreachable});
    }
    for (const ProbePath &probe : std::exchange(harness.probes, {})) {
        harness.apply(PathProbed {probe.number, false});
    }
    harness.advance(milliseconds(1));
    REQUIRE_FALSE(harness.inquiries.empty());
    return harness;
}

/// Lets a member offer to serve the request that was asked about last.
void offer(GatewayHarness &harness, const std::string &member)
{
    harness.apply(OfferReceived {
            InstanceId(member),
            {harness.inquiries.back().inquiry.number, DelegationState::Accepted, Instant()}});
}

} // namespace

TEST_CASE("a request with a known key is sent with its account's name and without the key")
{
    GatewayHarness harness = gateway();
    harness.accountKey = key;
    const ExchangeId id = harness.sendRequest("/p/x");
    REQUIRE(harness.started.size() == 1);
    checkSent(*harness.started[0].request, "acme");
    harness.reply(harness.started[0].attempt, ReplyClass::Success);
    CHECK(harness.answerOf(id)->status == 200);
    checkSilent(harness);
}

TEST_CASE("retries, hedges and gathered parts carry the account's name and no key")
{
    GatewayHarness harness = gateway();
    harness.accountKey = key;
    SECTION("a retry")
    {
        harness.sendRequest("/p/x");
        harness.reply(harness.started[0].attempt, ReplyClass::NotRun, 503);
    }
    SECTION("a hedge")
    {
        harness.sendRequest("/p/x");
        harness.advance(milliseconds(190));
    }
    SECTION("gathered parts")
    {
        harness.sendRequest("/g/x");
    }
    REQUIRE(harness.started.size() >= 2);
    for (const StartAttempt &attempt : harness.started) {
        checkSent(*attempt.request, "acme");
    }
    harness.advance(std::chrono::seconds(3));
    REQUIRE_FALSE(harness.logs.empty());
    CHECK(lastLogField(harness, "account") == "acme");
    checkSilent(harness);
}

// Guards against work that is done for, or state that is changed by, callers without a key.
TEST_CASE("a request without a known key is refused at once and not sent")
{
    GatewayHarness harness = gateway();
    for (const char *unknown : {"", "k-acme-4", "k-acme-411", "K-ACME-41"}) {
        for (const char *path : {"/p/x", "/g/x"}) {
            harness.accountKey = unknown;
            const ExchangeId id = harness.sendRequest(path);
            REQUIRE(harness.answerOf(id));
            CHECK(harness.answerOf(id)->status == 401);
            CHECK(harness.answerOf(id)->retryAfter == Duration(0));
            CHECK(lastLogField(harness, "reason") == "unknown-key");
            CHECK(lastLogField(harness, "configVersion") == "5");
            CHECK(lastLogField(harness, "account").empty());
        }
    }
    CHECK(harness.started.empty());
    CHECK(harness.inquiries.empty());
    checkSilent(harness);
}

TEST_CASE("a path without a route gets 404, with a key or without one")
{
    GatewayHarness harness = gateway();
    for (const std::string &sent : {std::string(), key}) {
        harness.accountKey = sent;
        CHECK(harness.answerOf(harness.sendRequest("/none"))->status == 404);
    }
    checkSilent(harness);
}

TEST_CASE("an instance without a configuration answers 503, with a key or without one")
{
    GatewayHarness harness(GatewayHarness::settingsOf({0.2, 60.0, std::chrono::seconds(10)}));
    harness.accountKey = key;
    CHECK(harness.answerOf(harness.sendRequest("/p/x"))->status == 503);
    checkSilent(harness);
}

TEST_CASE("public routes need no key; a known key still tells the account")
{
    GatewayHarness harness = gateway();
    harness.sendRequest("/open/x");
    harness.accountKey = "k-acme-unknown";
    harness.sendRequest("/open/x");
    harness.accountKey = key;
    harness.sendRequest("/open/x");
    REQUIRE(harness.started.size() == 3);
    checkSent(*harness.started[0].request, "");
    checkSent(*harness.started[1].request, "");
    checkSent(*harness.started[2].request, "acme");
}

TEST_CASE("without accounts requests are sent as they were received")
{
    GatewayHarness harness(configOf({plainRoute("/p/", "g", true)}), {target("t", "g")});
    harness.sendRequest("/p/x");
    harness.accountKey = key;
    harness.sendRequest("/p/x");
    REQUIRE(harness.started.size() == 2);
    CHECK(harness.started[0].request->identityFields.empty());
    CHECK(harness.started[1].request->identityFields == HeaderFields {{"identity", key}});
    CHECK(harness.started[1].request->account.empty());
    checkSilent(harness);
}

TEST_CASE("a key counts from the configuration that lists it until the one that doesn't")
{
    GatewayHarness harness = gateway();
    harness.accountKey = "k-acme-42";
    CHECK(harness.answerOf(harness.sendRequest("/p/x"))->status == 401);

    RoutingConfig both = config(6);
    both.accounts[0].keys = {key, "k-acme-42"};
    harness.answerWatch({GatewayHarness::configChange(both, 0)});
    harness.advance(milliseconds(400));
    harness.accountKey = key;
    harness.sendRequest("/p/x");
    harness.accountKey = "k-acme-42";
    const ExchangeId running = harness.sendRequest("/p/x");
    REQUIRE(harness.started.size() == 2);

    RoutingConfig renewed = config(7);
    renewed.accounts[0].keys = {"k-acme-43"};
    StoreAnswer answer;
    answer.status = StoreCallStatus::Done;
    answer.revision = ++harness.revision;
    answer.changes = {GatewayHarness::configChange(renewed, harness.revision)};
    REQUIRE(harness.answerStore<WatchStore>(answer));
    CHECK(harness.answerOf(harness.sendRequest("/p/x"))->status == 401);
    // A running request may end, with a retry too.
    const std::size_t before = harness.started.size();
    harness.reply(harness.started[1].attempt, ReplyClass::NotRun, 503);
    REQUIRE(harness.started.size() == before + 1);
    checkSent(*harness.started.back().request, "acme");
    harness.reply(harness.started.back().attempt, ReplyClass::Success);
    CHECK(harness.answerOf(running)->status == 200);
    checkSilent(harness);
}

TEST_CASE("the priority of an account replaces the route's")
{
    const RouteTable routes(std::make_shared<const RoutingConfig>(config()));
    const Route &route = *routes.find("h", "/p/x");
    const ClientAccount &acme = *routes.accounts().findByName("acme");
    const ClientAccount &urgent = *routes.accounts().findByName("urgent");
    CHECK(routes.urgencyRank(route, &urgent) == 0);
    CHECK(routes.urgencyRank(route, &acme) == 1);
    CHECK(routes.urgencyRank(route, nullptr) == 1);

    RoutingConfig slow = config();
    slow.accounts[1].priority = 9;
    const RouteTable slowRoutes(std::make_shared<const RoutingConfig>(slow));
    CHECK(slowRoutes.urgencyRank(*slowRoutes.find("h", "/p/x"),
                                 slowRoutes.accounts().findByName("urgent"))
          == 1);
    CHECK(slowRoutes.urgencyRank(*slowRoutes.find("h", "/p/x"), nullptr) == 0);
}

TEST_CASE("without accounts the urgency of requests is that of their routes")
{
    RoutingConfig plain = config();
    plain.accounts.clear();
    plain.routes[1].priority = 0;
    const RouteTable routes(std::make_shared<const RoutingConfig>(plain));
    CHECK(routes.urgencyRank(*routes.find("h", "/p/x"), nullptr) == 1);
    CHECK(routes.urgencyRank(*routes.find("h", "/open/x"), nullptr) == 0);
    CHECK(routes.urgencyRank(*routes.find("h", "/g/x"), nullptr) == 0);
}

TEST_CASE("a request that another member serves after the path broke carries the account, no key")
{
    GatewayHarness harness = strandedGateway();
    offer(harness, "b");
    REQUIRE(harness.delegated.size() == 1);
    checkSent(*harness.delegated[0].query.request, "acme");
    checkSilent(harness);
}

// Guards against a request that ends because the member that would help doesn't know its account.
TEST_CASE("a request whose account a member doesn't know goes to the next one, with its account")
{
    GatewayHarness harness = strandedGateway();
    offer(harness, "b");
    REQUIRE(harness.delegated.size() == 1);
    harness.apply(ReceiptReceived {InstanceId("b"),
                                   {harness.delegated[0].query.number, DelegationState::Outdated}});
    for (const SendInquiry &inquiry : std::vector(harness.inquiries)) {
        if (inquiry.receiver == "10.0.0.3:1") {
            offer(harness, "c");
            break;
        }
    }
    for (const DelegateRequest &delegated : harness.delegated) {
        checkSent(*delegated.query.request, "acme");
    }
    for (const StartAttempt &attempt : harness.started) {
        checkSent(*attempt.request, "acme");
    }
    harness.advance(std::chrono::seconds(2));
    CHECK(harness.answerOf(ExchangeId(1)));
    checkSilent(harness);
}

namespace {

/// Passes a delegated request to a gateway with the accounts. Returns the number of attempts that
/// it started.
std::size_t takeDelegated(GatewayHarness &harness, const ForwardedRequest &request)
{
    const std::size_t before = harness.started.size();
    DelegatedRequest query;
    query.number = before + 1;
    query.request = std::make_shared<const ForwardedRequest>(request);
    query.sentAt = harness.now;
    query.objectiveLeft = milliseconds(100);
    query.timeLeft = milliseconds(900);
    query.minConfigVersion = 5;
    harness.apply(RequestDelegated {InstanceId("b"), "10.0.0.2:1", query});
    return harness.started.size() - before;
}

ForwardedRequest delegatedRequest(const std::string &path, const std::string &account,
                                  const std::string &accountKey)
{
    ForwardedRequest request;
    request.method = "GET";
    request.host = "h";
    request.path = path;
    request.requestId = "r";
    request.account = account;
    request.accountKey = accountKey;
    request.identityFields = {{"identity", accountKey}, {"name", account}};
    return request;
}

DelegationState lastReceipt(const GatewayHarness &harness)
{
    REQUIRE_FALSE(harness.receipts.empty());
    return harness.receipts.back().receipt.state;
}

} // namespace

TEST_CASE("a delegated request is served for the account that the member names")
{
    GatewayHarness harness = gateway();
    CHECK(takeDelegated(harness, delegatedRequest("/p/x", "acme", "")) == 1);
    CHECK(takeDelegated(harness, delegatedRequest("/g/x", "urgent", "")) == 2);
    checkSent(*harness.started[0].request, "acme");
    checkSent(*harness.started[1].request, "urgent");
    checkSent(*harness.started[2].request, "urgent");
}

// Guards against a request that is served for an account that was removed, or without its limits.
TEST_CASE("a delegated request of an account that the configuration doesn't have is declined")
{
    GatewayHarness harness = gateway();
    for (const char *path : {"/p/x", "/open/x"}) {
        CHECK(takeDelegated(harness, delegatedRequest(path, "gone", "")) == 0);
        CHECK(lastReceipt(harness) == DelegationState::Outdated);
    }
    GatewayHarness open(configOf({plainRoute("/p/", "g", true)}, 5), {target("t", "g")});
    CHECK(takeDelegated(open, delegatedRequest("/p/x", "acme", "")) == 0);
    CHECK(lastReceipt(open) == DelegationState::Outdated);
}

TEST_CASE("a delegated request of a member without accounts is admitted by its key")
{
    GatewayHarness harness = gateway();
    CHECK(takeDelegated(harness, delegatedRequest("/p/x", "", key)) == 1);
    checkSent(*harness.started[0].request, "acme");
    CHECK(takeDelegated(harness, delegatedRequest("/p/x", "", "k-acme-no")) == 0);
    CHECK(lastReceipt(harness) == DelegationState::Outdated);
    CHECK(takeDelegated(harness, delegatedRequest("/open/x", "", "k-acme-no")) == 1);
    checkSent(*harness.started.back().request, "");
    checkSilent(harness);
}

// Guards against a removed key that instances without a connection to the store go on accepting.
TEST_CASE("a third of the instances without the store refuses a removed key within 5 s")
{
    FleetPlan plan;
    plan.instances = 9;
    plan.domains = 3;
    plan.shards = 1;
    plan.plainTargets = 9;
    plan.withCoordinators = false;
    GatewayFleet fleet(plan);
    RoutingConfig first = configOf({plainRoute(GatewayFleet::plain, "plain", true)}, 2);
    first.accounts = accounts();
    fleet.writeStore(GatewayHarness::configChange(first, 0));
    fleet.run(std::chrono::seconds(5));
    fleet.accountKey = key;
    std::vector<std::uint64_t> accepted;
    for (std::size_t i = 0; i < plan.instances; ++i) {
        accepted.push_back(fleet.sendPlainQuery(i, "/p/x"));
    }
    fleet.run(std::chrono::seconds(1));
    for (const std::uint64_t query : accepted) {
        CHECK(fleet.answers.at(query).status == 200);
    }

    // Among them is the first member by name, which usually calls the store for all.
    for (std::size_t i = 0; i < plan.instances; i += 3) {
        fleet.cutStore(i);
    }
    RoutingConfig second = first;
    second.version = 3;
    second.accounts[0].keys = {"k-acme-new"};
    fleet.writeStore(GatewayHarness::configChange(second, 0));
    fleet.run(std::chrono::seconds(5));
    for (std::size_t i = 0; i < plan.instances; ++i) {
        INFO("instance " << i);
        fleet.accountKey = key;
        const std::uint64_t old = fleet.sendPlainQuery(i, "/p/x");
        fleet.accountKey = "k-acme-new";
        const std::uint64_t renewed = fleet.sendPlainQuery(i, "/p/x");
        fleet.run(milliseconds(500));
        CHECK(fleet.answers.at(old).status == 401);
        CHECK(fleet.answers.at(renewed).status == 200);
    }
}
