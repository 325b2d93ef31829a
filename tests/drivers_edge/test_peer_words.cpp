#include "drivers/edge/peer_news.h"
#include "drivers/edge/peer_words.h"
#include "logic/gateway/retry_budget.h"
#include "proto/peer.pb.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

namespace {

const GroupExtras extras {{GroupName("g"), 2}, {GroupName("h"), 1}};

} // namespace

TEST_CASE("an ask for budget is read as it was written")
{
    const auto message = writeAsk({"unused", 7, extras}, "a", "127.0.0.1:1");
    const auto ask = readAsk(*message);
    REQUIRE(ask);
    CHECK(ask->sender == "127.0.0.1:1");
    CHECK(ask->number == 7);
    CHECK(ask->wanted == extras);
    CHECK_FALSE(readLoan(*message));
    CHECK_FALSE(readCrash(*message));
    CHECK_FALSE(readNews(*message));
}

TEST_CASE("a loan is never used for longer than loans last")
{
    const auto message =
            writeLoan({"unused", {7, extras, std::chrono::hours(1)}}, "a", "127.0.0.1:1");
    const auto loan = readLoan(*message);
    REQUIRE(loan);
    CHECK(loan->number == 7);
    CHECK(loan->lent == extras);
    CHECK(loan->validFor == RetryBudget::loanTime);
}

TEST_CASE("a word of a crash is read as it was written, with a bounded count")
{
    const CrashSighting sighting {Fingerprint(5), 1000, InstanceId("b"), 99};
    const auto crash = readCrash(*writeCrash({{}, sighting}, "a", "127.0.0.1:1"));
    REQUIRE(crash);
    CHECK(crash->sighting.fingerprint == Fingerprint(5));
    CHECK(crash->sighting.crashes == 8);
    CHECK(crash->sighting.origin == InstanceId("b"));
    CHECK(crash->sighting.number == 99);
}

TEST_CASE("news that are passed on keep who asked the store")
{
    WorldNews news;
    news.from = 3;
    news.to = 5;
    news.origin = InstanceId("first");
    const auto read = readNews(*writeNews(news, "b", "127.0.0.1:2"));
    REQUIRE(read);
    CHECK(read->sender == "127.0.0.1:2");
    CHECK(read->news.origin == InstanceId("first"));
    CHECK(read->news.to == 5);
}
