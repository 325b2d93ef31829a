#include "logic/accounts/account_bucket.h"
#include "logic/accounts/account_cap_holder.h"
#include "logic/accounts/account_holders.h"
#include "logic/accounts/local_allowance.h"
#include "logic/accounts/token_vote.h"

#include "account_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace lagoondeck;
using namespace lagoondeck::accounttest;

namespace {

constexpr Instant start {seconds(100)};

std::vector<MemberRecord> membersIn(std::size_t count, std::size_t domains)
{
    std::vector<MemberRecord> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({InstanceId("i" + std::to_string(i)), "p" + std::to_string(i),
                           FailureDomain("d" + std::to_string(i % domains))});
    }
    return members;
}

TokenAnswer answer(TokenAnswer::Kind kind)
{
    return {kind, milliseconds(100)};
}

/// Returns how many requests the allowances of a fleet serve in a time if all instances are asked
/// ten times a second.
std::size_t servedLocally(const ClientAccount &account, std::size_t instances, Duration duration)
{
    std::size_t served = 0;
    RandomEngine random(3);
    for (std::size_t i = 0; i < instances; ++i) {
        LocalAllowance allowance;
        for (Duration at {}; at < duration; at += milliseconds(100)) {
            served += allowance.tryTake(account, instances, start + at, random) ? 1 : 0;
        }
    }
    return served;
}

} // namespace

TEST_CASE("the holders of an account are in different failure domains if there are enough")
{
    for (const std::size_t domains : {1, 2, 3, 4}) {
        for (int i = 0; i < 50; ++i) {
            const auto holders =
                    accountHolders(membersIn(79, domains), "account" + std::to_string(i));
            REQUIRE(holders.size() == 3);
            std::set<FailureDomain> used;
            std::set<InstanceId> ids;
            for (const MemberRecord &holder : holders) {
                used.insert(holder.failureDomain);
                ids.insert(holder.id);
            }
            CHECK(used.size() == std::min<std::size_t>(domains, 3));
            CHECK(ids.size() == 3);
        }
    }
    CHECK(accountHolders(membersIn(2, 1), "a").size() == 2);
    CHECK(accountHolders({}, "a").empty());
}

TEST_CASE("a member that joins replaces few holders")
{
    const auto members = membersIn(80, 4);
    std::size_t changed = 0;
    for (int i = 0; i < 200; ++i) {
        const std::string account = "account" + std::to_string(i);
        changed += accountHolders(members, account) == accountHolders(membersIn(79, 4), account)
                ? 0
                : 1;
    }
    CHECK(changed < 20);
}

TEST_CASE("a holder's refusals have times of return that follow one another at the rate of the cap")
{
    const ClientAccount account = capped(4.0, 0.0);
    AccountBucket bucket;
    bucket.reset(1.0, start);
    CHECK(bucket.take(account, {"acme", 1, 0, 0}, start).granted == 1);
    for (int i = 1; i <= 20; ++i) {
        const AccountTokens refused = bucket.take(account, {"acme", 1, 0, 0}, start);
        CHECK(refused.granted == 0);
        CHECK(refused.retryAfter == milliseconds(250) * i);
    }
    const AccountTokens several = bucket.take(account, {"acme", 3, 0, 0}, start);
    CHECK(several.retryAfter == milliseconds(250) * 21);
    CHECK(several.retryInterval == milliseconds(250));
    // Beyond the horizon the times begin again.
    CHECK(bucket.take(account, {"acme", 1, 0, 0}, start).retryAfter == milliseconds(250));
}

TEST_CASE("returned tokens can be granted again, and charged ones can't")
{
    const ClientAccount account = capped(1.0, 4.0);
    AccountBucket bucket;
    bucket.reset(3.0, start);
    CHECK(bucket.take(account, {"acme", 3, 0, 0}, start).granted == 3);
    CHECK(bucket.take(account, {"acme", 3, 2, 0}, start).granted == 2);
    CHECK(bucket.take(account, {"acme", 1, 0, 1}, start + seconds(1)).granted == 0);
    CHECK(bucket.take(account, {"acme", 1, 0, 0}, start + seconds(2)).granted == 1);
    // Neither message may fill the bucket over its capacity or close the account for long.
    CHECK(bucket.take(account, {"acme", 100, 1000, 0}, start + seconds(2)).granted == 5);
    CHECK(bucket.take(account, {"acme", 1, 0, 1000}, start + seconds(2)).granted == 0);
    CHECK(bucket.take(account, {"acme", 1, 0, 0}, start + seconds(5)).granted == 1);
}

TEST_CASE("a new bucket is full only when the fleet starts for the first time")
{
    const ClientAccount account = capped(2.0, 30.0);
    const AccountWish wish {"acme", 100, 0, 0};
    AccountCapHolder first;
    first.start(start, true);
    CHECK(first.answer(wish, &account, start).granted == 31);

    AccountCapHolder restarted;
    restarted.start(start, false);
    CHECK(restarted.answer(wish, &account, start).granted == 3);
    CHECK(restarted.answer(wish, &account, start + seconds(5)).granted == 10);

    // Another holder may have granted the burst before.
    AccountCapHolder replacement;
    replacement.start(start, true);
    replacement.onMembersChanged([](const std::string &) { return true; }, start + seconds(60));
    CHECK(replacement.answer(wish, &account, start + seconds(60)).granted == 1);
}

TEST_CASE("a holder that was replaced for a while does not keep its tokens")
{
    const ClientAccount account = capped(2.0, 30.0);
    AccountCapHolder holder;
    holder.start(start, true);
    CHECK(holder.answer({"acme", 1, 0, 0}, &account, start).granted == 1);
    holder.onMembersChanged([](const std::string &) { return false; }, start + seconds(60));
    holder.onMembersChanged([](const std::string &) { return true; }, start + seconds(90));
    CHECK(holder.answer({"acme", 100, 0, 0}, &account, start + seconds(90)).granted == 1);
}

TEST_CASE("a holder that knows no cap of an account says so")
{
    AccountCapHolder holder;
    holder.start(start, true);
    const std::vector<ClientAccount> accounts {capped(0.0, 0.0)};
    const AccountDirectory directory(accounts);
    const auto answers = holder.answer(
            {{"acme", 1, 0, 0}, {"umbrella", 1, 0, 0}, {"other", 0, 1, 0}}, directory, start);
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].isUnknown);
    CHECK(answers[1].isUnknown);
}

TEST_CASE("two of three holders decide on a request")
{
    using Kind = TokenAnswer::Kind;
    struct Row
    {
        std::vector<Kind> answers;
        TokenDecision whileWaiting;
        TokenDecision afterwards;
    };
    const std::vector<Row> rows {
            {{}, TokenDecision::Undecided, TokenDecision::NoMajority},
            {{Kind::Granted}, TokenDecision::Undecided, TokenDecision::NoMajority},
            {{Kind::Refused}, TokenDecision::Undecided, TokenDecision::Refused},
            {{Kind::Granted, Kind::Granted}, TokenDecision::Admitted, TokenDecision::Admitted},
            {{Kind::Refused, Kind::Refused}, TokenDecision::Refused, TokenDecision::Refused},
            {{Kind::Granted, Kind::Refused}, TokenDecision::Undecided, TokenDecision::Refused},
            {{Kind::Granted, Kind::Refused, Kind::Granted},
             TokenDecision::Admitted,
             TokenDecision::Admitted},
            {{Kind::Granted, Kind::Unknown, Kind::Unknown},
             TokenDecision::NoMajority,
             TokenDecision::NoMajority},
            {{Kind::Granted, Kind::Unknown, Kind::Refused},
             TokenDecision::Refused,
             TokenDecision::Refused},
    };
    for (const Row &row : rows) {
        TokenVote vote(3);
        for (const Kind kind : row.answers) {
            vote.add(answer(kind));
        }
        CHECK(vote.decide(false) == row.whileWaiting);
        CHECK(vote.decide(true) == row.afterwards);
    }
}

TEST_CASE("all three holders must answer if others may have replaced some of them")
{
    using Kind = TokenAnswer::Kind;
    TokenVote vote(3, TokenVote::Quorum::All);
    vote.add(answer(Kind::Granted));
    vote.add(answer(Kind::Granted));
    CHECK(vote.decide(false) == TokenDecision::Undecided);
    CHECK(vote.decide(true) == TokenDecision::NoMajority);
    CHECK_FALSE(vote.hasMajority());
    vote.add(answer(Kind::Refused));
    CHECK(vote.decide(false) == TokenDecision::Admitted);
    CHECK(vote.hasMajority());
}

TEST_CASE("the local allowances of a fleet stay within what the bound permits beyond the cap")
{
    for (const auto &[rate, burst] :
         {std::pair {0.5, 0.0}, {4.0, 0.0}, {70.0, 0.0}, {300.0, 9.0}}) {
        const ClientAccount account = capped(rate, burst);
        for (const std::size_t instances : {8, 79, 1000}) {
            const double allowed =
                    (AccountFleet::bound(account) - 5.0 * account.requestsPerSecond - account.burst)
                    * 4.0;
            CAPTURE(rate, instances);
            CHECK(static_cast<double>(servedLocally(account, instances, seconds(20))) < allowed);
        }
    }
    // Small caps are served at a quarter of the rate or more.
    CHECK(servedLocally(capped(2.0, 0.0), 79, seconds(60)) >= 30);
}

TEST_CASE("without a majority the callers of an account are served where they were served before")
{
    LocalAllowance allowance;
    const ClientAccount account = capped(2.0, 2.0);
    for (int i = 0; i < 40; ++i) {
        allowance.onGranted(start + milliseconds(500) * i);
    }
    RandomEngine random(1);
    std::size_t served = 0;
    for (int i = 0; i < 200; ++i) {
        served +=
                allowance.tryTake(account, 79, start + seconds(20) + milliseconds(100) * i, random)
                ? 1
                : 0;
    }
    CHECK(served >= 14);
    CHECK(served <= 21);
}

TEST_CASE("requests are decided locally at once after three without a majority")
{
    AccountFleet fleet(capped(0.5, 0.0));
    fleet.cut({5});
    for (int i = 0; i < 3; ++i) {
        fleet.submit(5);
        fleet.run(milliseconds(24));
        CHECK(fleet.retries.size() + fleet.served.size() == static_cast<std::size_t>(i));
        fleet.run(milliseconds(2));
        CHECK(fleet.retries.size() + fleet.served.size() == static_cast<std::size_t>(i) + 1);
    }
    fleet.submit(5);
    CHECK(fleet.retries.size() + fleet.served.size() == 4);
    // The requests that are decided at once show when the majority is back.
    fleet.cut({});
    const std::size_t served = fleet.served.size();
    fleet.submit(5);
    fleet.run(milliseconds(30));
    fleet.submit(5);
    fleet.run(milliseconds(30));
    CHECK(fleet.served.size() == served + 1);
}

TEST_CASE("a token of a caller that left is returned")
{
    AccountFleet fleet(capped(0.01, 0.0));
    const ExchangeId exchange = fleet.submit(5);
    fleet.leave(5, exchange);
    fleet.run(milliseconds(30));
    CHECK(fleet.served.empty());
    CHECK(fleet.retries.empty());
    fleet.submit(40);
    fleet.run(milliseconds(30));
    CHECK(fleet.served.size() == 1);
}

TEST_CASE("holders that know no cap leave the decision to the local allowance")
{
    AccountFleet fleet(capped(0.5, 0.0));
    for (const std::size_t holder : fleet.holders()) {
        fleet.setAccount(holder, capped(0.0, 0.0));
    }
    fleet.submit(5);
    fleet.run(milliseconds(24));
    CHECK(fleet.served.size() + fleet.retries.size() == 1);
}

TEST_CASE("an instance that has just restarted does not take itself for the whole fleet")
{
    for (const bool isFirstStart : {false, true}) {
        std::vector<GatewayEffect> effects;
        RandomEngine random;
        IdSource ids;
        GatewayContext context {start, effects, random, ids};
        AccountCaps caps(InstanceId("i0"), isFirstStart);
        caps.start(start);
        caps.setMembers(membersIn(1, 1), start);
        const ClientAccount account = capped(1.0, 9.0);
        const Route route;
        for (std::uint64_t i = 1; i <= 10; ++i) {
            AdmittedRequest request;
            request.id = ExchangeId(i);
            request.request = std::make_shared<const ForwardedRequest>();
            request.route = &route;
            request.account = &account;
            request.deadlineAt = start + seconds(1);
            caps.submit(std::move(request), context);
        }
        context.now += milliseconds(25);
        caps.onTimer(context);
        CHECK(caps.size() == 0);
        CHECK(caps.takeAdmitted().size() == (isFirstStart ? 10 : 0));
    }
}

TEST_CASE("the number of accounts that are counted by name is limited")
{
    std::vector<GatewayEffect> effects;
    RandomEngine random;
    IdSource ids;
    GatewayContext context {start, effects, random, ids};
    AccountCaps caps(InstanceId("i0"), true);
    caps.start(start);
    caps.setMembers(membersIn(1, 1), start);
    std::vector<ClientAccount> accounts(100, capped(4.0, 4.0));
    const Route route;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        accounts[i].name = "account" + std::to_string(i);
        AdmittedRequest request;
        request.id = ExchangeId(i + 1);
        request.request = std::make_shared<const ForwardedRequest>();
        request.route = &route;
        request.account = &accounts[i];
        request.deadlineAt = start + seconds(1);
        caps.submit(std::move(request), context);
    }
    CHECK(caps.takeAdmitted().size() == 100);
    CHECK(caps.usage().size() == 65);
    CHECK(caps.usage().at("other").granted == 36);
}

TEST_CASE("the requests of one event are asked in one message to each holder")
{
    std::vector<GatewayEffect> effects;
    RandomEngine random;
    IdSource ids;
    GatewayContext context {start, effects, random, ids};
    AccountCaps caps(InstanceId("self"), true);
    caps.start(start);
    caps.setMembers(membersIn(9, 3), start);
    const ClientAccount account = capped(4.0, 4.0);
    const Route route;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        AdmittedRequest request;
        request.id = ExchangeId(i);
        request.request = std::make_shared<const ForwardedRequest>();
        request.route = &route;
        request.account = &account;
        request.deadlineAt = start + seconds(1);
        caps.submit(std::move(request), context);
    }
    caps.sendAsks(context);
    REQUIRE(effects.size() == 3);
    for (const GatewayEffect &effect : effects) {
        const auto &ask = std::get<AskAccountTokens>(effect);
        REQUIRE(ask.wishes.size() == 1);
        CHECK(ask.wishes[0] == AccountWish {"acme", 3, 0, 0});
    }
    CHECK(caps.size() == 3);
    // Two holders grant two of three tokens.
    effects.clear();
    const std::vector<MemberRecord> holders = accountHolders(membersIn(9, 3), "acme");
    for (std::size_t i = 0; i < 2; ++i) {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            caps.onGranted({holders[i].peerAddress,
                            number,
                            {{"acme", 2, false, seconds(1), milliseconds(250)}}},
                           context);
        }
    }
    CHECK(caps.takeAdmitted().size() == 2);
    CHECK(caps.size() == 0);
}
