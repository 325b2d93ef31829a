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
    CHECK(ask->extras == extras);
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
    CHECK(loan->validFor == RetryBudget::loanLifetime);
}

TEST_CASE("a word of a crash is read as it was written, with a bounded count")
{
    const CrashObservation observation {Fingerprint(5), 1000, InstanceId("b"), 99};
    const auto crash = readCrash(*writeCrash({{}, observation}, "a", "127.0.0.1:1"));
    REQUIRE(crash);
    CHECK(crash->observation.fingerprint == Fingerprint(5));
    CHECK(crash->observation.crashes == 8);
    CHECK(crash->observation.origin == InstanceId("b"));
    CHECK(crash->observation.number == 99);
}

TEST_CASE("news that are passed on keep who asked the store")
{
    StoreUpdate news;
    news.fromRevision = 3;
    news.toRevision = 5;
    news.origin = InstanceId("first");
    const auto read = readNews(*writeNews(news, "b", "127.0.0.1:2"));
    REQUIRE(read);
    CHECK(read->sender == "127.0.0.1:2");
    CHECK(read->update.origin == InstanceId("first"));
    CHECK(read->update.toRevision == 5);
}
