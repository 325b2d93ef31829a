#include "drivers/edge/account_messages.h"
#include "proto/peer.pb.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

TEST_CASE("wishes for tokens are read as they were written")
{
    const std::vector<AccountWish> wishes {{"acme", 3, 2, 1}, {"umbrella", 0, 1, 0}};
    const auto event = readAccountAsk(*writeAccountAsk({"", 7, wishes}, "a", "127.0.0.1:1"));
    REQUIRE(event);
    CHECK(event->sender == "127.0.0.1:1");
    CHECK(event->number == 7);
    CHECK(event->wishes == wishes);
}

TEST_CASE("granted tokens are read as they were written, with bounded times")
{
    const std::vector<AccountTokens> tokens {
            {"acme", 3, false, std::chrono::milliseconds(5), std::chrono::milliseconds(2)},
            {"umbrella", 0, true, std::chrono::hours(-1), std::chrono::hours(9)}};
    const auto event = readAccountGrant(*writeAccountGrant({"", 7, tokens}, "a", "127.0.0.1:1"));
    REQUIRE(event);
    REQUIRE(event->tokens.size() == 2);
    CHECK(event->sender == "127.0.0.1:1");
    CHECK(event->number == 7);
    CHECK(event->tokens[0] == tokens[0]);
    CHECK(event->tokens[1].isUnknown);
    CHECK(event->tokens[1].retryAfter == Duration(0));
    CHECK(event->tokens[1].retryInterval == std::chrono::hours(1));
}

TEST_CASE("a message about something else asks for no tokens and grants none")
{
    const proto::PeerMessage message;
    CHECK_FALSE(readAccountAsk(message));
    CHECK_FALSE(readAccountGrant(message));
}
