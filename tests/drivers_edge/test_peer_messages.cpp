#include "drivers/edge/learned_state_messages.h"
#include "drivers/edge/peer_messages.h"
#include "drivers/edge/peer_store_update.h"
#include "logic/gateway/limit_bucket.h"
#include "logic/gateway/retry_budget.h"
#include "platform/store_value_codec.h"
#include "proto/peer.pb.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace lagoondeck;

namespace {

const GroupExtras extras {{GroupName("g"), 2}, {GroupName("h"), 1}};

} // namespace

TEST_CASE("a budget request is decoded to the values that were encoded")
{
    const auto message = writeBudgetRequest({"unused", 7, extras}, "a", "127.0.0.1:1");
    const auto request = readBudgetRequest(*message);
    REQUIRE(request);
    CHECK(request->sender == "127.0.0.1:1");
    CHECK(request->number == 7);
    CHECK(request->extras == extras);
    CHECK_FALSE(readBudgetLoan(*message));
    CHECK_FALSE(readCrashReport(*message));
    CHECK_FALSE(readStoreUpdate(*message));
}

TEST_CASE("the validity of a budget loan is limited to the loan lifetime")
{
    const auto message =
            writeBudgetLoan({"unused", {7, extras, std::chrono::hours(1)}}, "a", "127.0.0.1:1");
    const auto loan = readBudgetLoan(*message);
    REQUIRE(loan);
    CHECK(loan->number == 7);
    CHECK(loan->lent == extras);
    CHECK(loan->validFor == RetryBudget::loanLifetime);
}

TEST_CASE("a crash report is decoded to the values that were encoded, with a limited crash count")
{
    const CrashObservation observation {Fingerprint(5), 1000, InstanceId("b"), 99};
    const auto crash = readCrashReport(*writeCrashReport({{}, observation}, "a", "127.0.0.1:1"));
    REQUIRE(crash);
    CHECK(crash->observation.fingerprint == Fingerprint(5));
    CHECK(crash->observation.crashes == 8);
    CHECK(crash->observation.origin == InstanceId("b"));
    CHECK(crash->observation.number == 99);
}

TEST_CASE("a store update that is passed on keeps the member that read the store")
{
    StoreUpdate update;
    update.fromRevision = 3;
    update.toRevision = 5;
    update.origin = InstanceId("first");
    const auto read = readStoreUpdate(*writeStoreUpdate(update, true, "b", "127.0.0.1:2"));
    REQUIRE(read);
    CHECK(read->sender == "127.0.0.1:2");
    CHECK(read->update.origin == InstanceId("first"));
    CHECK(read->update.toRevision == 5);
}

TEST_CASE("a store update keeps the history of its revisions and the sender's configuration")
{
    StoreUpdate update;
    update.toRevision = 5;
    update.history = 3;
    update.configVersion = 12;
    update.evacuationDigest = 34;
    const auto read = readStoreUpdate(*writeStoreUpdate(update, true, "b", "127.0.0.1:2"));
    REQUIRE(read);
    CHECK(read->update.history == 3);
    CHECK(read->update.configVersion == 12);
    CHECK(read->update.evacuationDigest == 34);
}

// Guards against a large configuration that fills the links between failure domains.
TEST_CASE("a large value is compressed for members that read that, and comes back unchanged")
{
    std::string value = R"({"version":7,"routes":[)";
    for (int i = 0; i < 200; ++i) {
        value += std::string(i == 0 ? "" : ",")
                + R"({"name":"r","host":"h","prefix":"/a/","service":"s","timeout_ms":100})";
    }
    value += "]}";
    StoreUpdate update;
    update.changes.push_back(wire::readChange("op/config", value, 3));
    const auto compressed = writeStoreUpdate(update, true, "b", "127.0.0.1:2");
    const auto plain = writeStoreUpdate(update, false, "b", "127.0.0.1:2");
    CHECK(compressed->ByteSizeLong() * 10 < plain->ByteSizeLong());
    CHECK(plain->world().items(0).value() == value);
    for (const auto &message : {compressed, plain}) {
        const auto read = readStoreUpdate(*message);
        REQUIRE(read);
        CHECK(*read->update.changes.at(0).encodedValue == value);
        CHECK(std::get<RoutingConfigPtr>(read->update.changes[0].content)->version == 7);
    }
}

TEST_CASE("a compressed value that can't be read is no configuration")
{
    proto::PeerMessage message;
    proto::WorldItem &item = *message.mutable_world()->add_items();
    item.set_key("op/config");
    item.set_compressed_value("no compressed value");
    const auto read = readStoreUpdate(message);
    REQUIRE(read);
    CHECK(std::holds_alternative<std::monostate>(read->update.changes.at(0).content));
    CHECK_FALSE(read->update.changes[0].problem.empty());
}

TEST_CASE("a request for the state and its reply keep what they tell of the parts")
{
    StoreUpdate request;
    request.isStateRequest = true;
    request.bucketDigests = {1, 2, 3};
    const auto readRequest = readStoreUpdate(*writeStoreUpdate(request, true, "b", "127.0.0.1:2"));
    REQUIRE(readRequest);
    CHECK(readRequest->update.bucketDigests == request.bucketDigests);
    CHECK(readRequest->update.acceptsCompression);

    StoreUpdate reply;
    reply.isFullState = true;
    reply.isPartialState = true;
    reply.buckets = {4, 60};
    const auto readReply = readStoreUpdate(*writeStoreUpdate(reply, true, "b", "127.0.0.1:2"));
    REQUIRE(readReply);
    CHECK(readReply->update.isPartialState);
    CHECK(readReply->update.buckets == reply.buckets);
}

TEST_CASE("a report of limits is decoded to the values that were encoded")
{
    const LimitReport report {InstanceId("b"), 99, {{TargetId("t1"), 33.1}, {TargetId("t2"), {}}}};
    const auto decoded = readLimitReport(*writeLimitReport(report, "a", "127.0.0.1:1"));
    REQUIRE(decoded);
    CHECK(decoded->report.origin == InstanceId("b"));
    CHECK(decoded->report.number == 99);
    CHECK(decoded->report.limits == report.limits);
}

TEST_CASE("limits that are no rates are left out of a report")
{
    const LimitReport report {InstanceId("b"),
                              1,
                              {{TargetId("t1"), -1.0},
                               {TargetId("t2"), std::numeric_limits<double>::infinity()},
                               {TargetId("t3"), std::numeric_limits<double>::quiet_NaN()},
                               {TargetId("t4"), 0.0}}};
    const auto decoded = readLimitReport(*writeLimitReport(report, "a", "127.0.0.1:1"));
    REQUIRE(decoded);
    CHECK(decoded->report.limits == std::vector<StatedLimit> {{TargetId("t4"), 0.0}});
}

TEST_CASE("requests for parts of limits and loans are decoded to the values that were encoded")
{
    const std::vector<LimitWish> wishes {{TargetId("t1"), 2, 33.1}, {TargetId("t2"), 1, 0.0}};
    const auto request = readLimitRequest(*writeLimitRequest({"", 7, wishes}, "a", "127.0.0.1:1"));
    REQUIRE(request);
    CHECK(request->sender == "127.0.0.1:1");
    CHECK(request->number == 7);
    CHECK(request->wishes == wishes);
    const LimitGrants lent {{TargetId("t1"), 2}, {TargetId("t2"), 0}};
    const auto loan = readLimitLoan(
            *writeLimitLoan({"", {7, lent, std::chrono::hours(1)}}, "a", "127.0.0.1:1"));
    REQUIRE(loan);
    CHECK(loan->number == 7);
    CHECK(loan->lent == lent);
    CHECK(loan->validFor == LimitBucket::loanLifetime);
}

TEST_CASE("learned state is decoded to the values that were encoded")
{
    LearnedState state;
    state.suspects = {{Fingerprint(7), 4, std::chrono::seconds(3)}};
    state.limits = {{TargetId("t"), 2.5},
                    {TargetId("u"), std::nullopt},
                    {TargetId("v"), 4.0, std::chrono::seconds(7)}};
    state.leavingTargets = {{TargetId("v"), 1700000000000}};
    state.isComplete = false;
    state.configVersion = 12;
    const auto message = writeLearnedState(state, "a", "127.0.0.1:1");
    const auto read = readLearnedState(*message);
    REQUIRE(read);
    CHECK(read->sender == "127.0.0.1:1");
    CHECK(read->state.suspects == state.suspects);
    CHECK(read->state.limits == state.limits);
    CHECK(read->state.leavingTargets == state.leavingTargets);
    CHECK_FALSE(read->state.isComplete);
    CHECK(read->state.configVersion == 12);
    CHECK_FALSE(readLearnedStateRequest(*message));
    CHECK_FALSE(readLimitReport(*message));
    const auto request = readLearnedStateRequest(*writeLearnedStateRequest("a", "127.0.0.1:1"));
    REQUIRE(request);
    CHECK(request->sender == "127.0.0.1:1");
}

TEST_CASE("impossible values in learned state are limited or left out")
{
    proto::PeerMessage message;
    proto::SuspectRequest &suspect = *message.mutable_learned_state()->add_suspects();
    suspect.set_crashes(4'000'000'000);
    suspect.set_age_us(-5);
    proto::StatedLimit &limit = *message.mutable_learned_state()->add_limits();
    limit.set_per_second(std::numeric_limits<double>::quiet_NaN());
    const auto read = readLearnedState(message);
    REQUIRE(read);
    CHECK(read->state.isComplete);
    CHECK(read->state.suspects.at(0).crashes <= 64);
    CHECK(read->state.suspects[0].age == Duration(0));
    CHECK(read->state.limits.empty());
}

// Guards against members of two versions that don't understand each other during an upgrade.
TEST_CASE("a message that only a newer version knows is read as no message by this one")
{
    proto::PeerMessage message;
    message.set_sender("a");
    message.set_sender_address("127.0.0.1:1");
    std::string encoded = message.SerializeAsString();
    // Field 500 with the bytes "new".
    encoded += "\xa2\x1f\x03new";
    proto::PeerMessage parsed;
    REQUIRE(parsed.ParseFromString(encoded));
    CHECK_FALSE(readLearnedState(parsed));
    CHECK_FALSE(readLearnedStateRequest(parsed));
    CHECK_FALSE(readCrashReport(parsed));
    CHECK_FALSE(readStoreUpdate(parsed));
}
