#include "drivers/edge/delegation_messages.h"
#include "platform/message_codec.h"
#include "platform/wire_names.h"
#include "proto/peer.pb.h"

#include <catch2/catch.hpp>
#include <limits>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

const std::string sender = "n1";
const std::string address = "10.0.0.1:7";

template <typename Event>
Event decode(const std::shared_ptr<const proto::PeerMessage> &message)
{
    const auto event = readDelegationMessage(*message);
    REQUIRE(event);
    REQUIRE(std::holds_alternative<Event>(*event));
    return std::get<Event>(*event);
}

} // namespace

TEST_CASE("an inquiry and its offer are decoded to the values that were encoded")
{
    const auto inquiry = decode<InquiryReceived>(writeInquiry({5, 9}, sender, address));
    CHECK(inquiry.member == InstanceId(sender));
    CHECK(inquiry.sender == address);
    CHECK(inquiry.inquiry.number == 5);
    CHECK(inquiry.inquiry.minConfigVersion == 9);
    for (const DelegationState state :
         {DelegationState::Accepted, DelegationState::Busy, DelegationState::Leaving,
          DelegationState::Outdated, DelegationState::Expired, DelegationState::Unreachable}) {
        const auto offer =
                decode<OfferReceived>(writeOffer({5, state, Instant(77s)}, sender, address));
        CHECK(offer.offer.number == 5);
        CHECK(offer.offer.state == state);
        CHECK((offer.offer.sentAt == Instant(77s)));
    }
}

TEST_CASE("a delegated query is decoded to the request that was encoded")
{
    ForwardedRequest request;
    request.method = "GET";
    request.host = "h";
    request.path = "/a/\xff";
    request.requestId = "r1";
    request.fields = {{"Request-Id", "r1"}, {"X", std::string("\x01\xfe", 2)}};
    request.body = std::string("\0b", 2);
    DelegatedRequest query;
    query.number = 3;
    query.request = std::make_shared<const ForwardedRequest>(request);
    query.sentAt = Instant(5s);
    query.objectiveLeft = 100ms;
    query.timeLeft = 900ms;
    query.minConfigVersion = 4;
    const auto read = decode<RequestDelegated>(writeDelegatedRequest(query, sender, address));
    CHECK(read.query.number == 3);
    CHECK(read.query.request->method == "GET");
    CHECK(read.query.request->host == "h");
    CHECK(read.query.request->path == request.path);
    CHECK(read.query.request->requestId == "r1");
    CHECK(read.query.request->fields == request.fields);
    CHECK(read.query.request->body == request.body);
    CHECK((read.query.sentAt == Instant(5s)));
    CHECK(read.query.objectiveLeft == Duration(100ms));
    CHECK(read.query.timeLeft == Duration(900ms));
    CHECK(read.query.minConfigVersion == 4);
}

TEST_CASE("a receipt, an answer and a cancellation are decoded to the values that were encoded")
{
    const auto readReceipt =
            decode<ReceiptReceived>(writeReceipt({8, DelegationState::Outdated}, sender, address));
    CHECK(readReceipt.receipt.number == 8);
    CHECK(readReceipt.receipt.state == DelegationState::Outdated);

    DelegatedAnswer answer;
    answer.number = 8;
    answer.requestId = "r";
    answer.reply.status = 200;
    answer.reply.partSignatures = {"a", "b"};
    answer.reply.partsMissing = 1;
    answer.reply.mergedBody = std::string("\0\x7f", 2);
    answer.reply.retryAfter = 20ms;
    answer.reply.detail = "text";
    answer.configVersion = 6;
    const auto readAnswer =
            decode<DelegatedAnswerReceived>(writeDelegatedAnswer(answer, sender, address));
    CHECK(readAnswer.answer.requestId == "r");
    CHECK(readAnswer.answer.reply.status == 200);
    CHECK(readAnswer.answer.reply.partSignatures == answer.reply.partSignatures);
    CHECK(readAnswer.answer.reply.partsMissing == 1);
    CHECK(readAnswer.answer.reply.mergedBody == answer.reply.mergedBody);
    CHECK(readAnswer.answer.reply.retryAfter == Duration(20ms));
    CHECK(readAnswer.answer.reply.detail == "text");
    CHECK(readAnswer.answer.configVersion == 6);
    CHECK(readAnswer.answer.reply.forwarded == nullptr);
    CHECK(readAnswer.answer.leavingTargets.empty());

    const auto cancelled =
            decode<DelegationCancelled>(writeCancellation({"unused", 8}, sender, address));
    CHECK(cancelled.number == 8);
    CHECK(cancelled.member == InstanceId(sender));
}

TEST_CASE("a target's reply is decoded to the one that was encoded")
{
    ForwardedReply forwarded;
    forwarded.status = 207;
    forwarded.reason = "Multi-Status";
    forwarded.fields = {{"Server-Stamp", "s"}, {"X", std::string("\x01\xfe", 2)}, {"X", "2"}};
    forwarded.body = std::string("\0\xff", 2);
    DelegatedAnswer answer;
    answer.number = 8;
    answer.requestId = "r";
    answer.reply.status = 207;
    answer.reply.forwarded = std::make_shared<const ForwardedReply>(forwarded);
    answer.leavingTargets = {TargetId("t"), TargetId("u")};
    const auto read =
            decode<DelegatedAnswerReceived>(writeDelegatedAnswer(answer, sender, address));
    REQUIRE(read.answer.reply.forwarded != nullptr);
    CHECK(read.answer.reply.status == 207);
    CHECK(read.answer.reply.forwarded->status == 207);
    CHECK(read.answer.reply.forwarded->reason == "Multi-Status");
    CHECK(read.answer.reply.forwarded->fields == forwarded.fields);
    CHECK(read.answer.reply.forwarded->body == forwarded.body);
    CHECK(read.answer.leavingTargets == answer.leavingTargets);
}

TEST_CASE("times of any size in a message can be added without an overflow")
{
    rc::check([](std::int64_t sentAt, std::int64_t left) {
        proto::PeerMessage message;
        message.mutable_delegated_request()->set_sent_at_us(sentAt);
        message.mutable_delegated_request()->set_objective_left_us(left);
        message.mutable_delegated_request()->set_time_left_us(left);
        const auto event = readDelegationMessage(message);
        RC_ASSERT(event.has_value());
        const DelegatedRequest &query = std::get<RequestDelegated>(*event).query;
        RC_ASSERT(query.sentAt >= Instant());
        RC_ASSERT(query.objectiveLeft >= Duration(0));
        RC_ASSERT(query.sentAt + query.timeLeft >= query.sentAt);
    });
}

TEST_CASE("a message about something else is no delegation message")
{
    proto::PeerMessage message;
    message.mutable_crash();
    CHECK_FALSE(readDelegationMessage(message));
}

namespace {

const std::string key = "k-93ab";

DelegatedRequest delegated(ForwardedRequest request)
{
    request.method = "GET";
    request.path = "/a";
    request.fields = {{"Request-Id", "r1"}};
    DelegatedRequest query;
    query.request = std::make_shared<const ForwardedRequest>(std::move(request));
    return query;
}

/// Returns what a member of a version without accounts sends to a target: all fields of the
/// message.
std::string forwardedByOlderMember(const proto::PeerMessage &message)
{
    ForwardedRequest request;
    request.method = "GET";
    request.path = "/a";
    for (const proto::HeaderField &field : message.delegated_request().fields()) {
        request.fields.emplace_back(field.name(), field.value());
    }
    return wire::writeTargetRequest(request, "t", 5ms);
}

std::string fieldLine(std::string_view name, const std::string &value)
{
    return "\r\n" + std::string(name) + ": " + value + "\r\n";
}

} // namespace

TEST_CASE("a delegated request of an account is decoded with its name and without a key")
{
    ForwardedRequest request;
    request.account = "acme";
    const auto message = writeDelegatedRequest(delegated(request), sender, address);
    CHECK(message->delegated_request().account() == "acme");
    const auto read = decode<RequestDelegated>(message);
    CHECK(read.query.request->account == "acme");
    CHECK(read.query.request->accountKey.empty());
    CHECK(read.query.request->fields == HeaderFields {{"Request-Id", "r1"}});
}

// Guards against a target that doesn't learn the account while the fleet runs two versions.
TEST_CASE("a member without accounts passes the account's name of a delegated request on")
{
    ForwardedRequest request;
    request.account = "acme";
    const std::string bytes =
            forwardedByOlderMember(*writeDelegatedRequest(delegated(request), sender, address));
    CHECK(bytes.find(fieldLine(wire::account, "acme")) != std::string::npos);
    CHECK(bytes.find(wire::authorization) == std::string::npos);
}

// Guards against requests that are refused, or passed on with their key, while the fleet runs two
// versions.
TEST_CASE("the key in a delegated request of a member without accounts is read, not passed on")
{
    proto::PeerMessage message;
    proto::DelegatedRequest &encoded = *message.mutable_delegated_request();
    for (const auto &[name, value] : HeaderFields {
                 {"Request-Id", "r1"}, {"authorization", "Bearer " + key}, {"TENANT", "forged"}}) {
        proto::HeaderField &field = *encoded.add_fields();
        field.set_name(name);
        field.set_value(value);
    }
    const auto event = readDelegationMessage(message);
    REQUIRE(event);
    const ForwardedRequest &request = *std::get<RequestDelegated>(*event).query.request;
    CHECK(request.account.empty());
    CHECK(request.accountKey == key);
    CHECK(request.fields == HeaderFields {{"Request-Id", "r1"}});
}

TEST_CASE("a delegated request keeps the caller's fields if there are no accounts")
{
    ForwardedRequest request;
    request.identityFields = {{"authorization", "Basic x"}, {"Tenant", "own"}};
    const auto message = writeDelegatedRequest(delegated(request), sender, address);
    CHECK(message->delegated_request().account().empty());
    const auto read = decode<RequestDelegated>(message);
    CHECK(read.query.request->identityFields == request.identityFields);
    CHECK(read.query.request->accountKey.empty());
    const std::string bytes = wire::writeTargetRequest(*read.query.request, "t", 5ms);
    CHECK(bytes.find(fieldLine("authorization", "Basic x")) != std::string::npos);
    CHECK(bytes.find(fieldLine("Tenant", "own")) != std::string::npos);
}
