#include "drivers/edge/delegation_messages.h"

#include "platform/message_codec.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lagoondeck {

namespace {

/// Longer times are reduced to this one, so that sums of times can't overflow.
constexpr Duration maxTimeLeft = std::chrono::hours(24);
constexpr int statusBadGateway = 502;

std::shared_ptr<proto::PeerMessage> createMessage(const std::string &sender,
                                                  const std::string &senderAddress)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(sender);
    message->set_sender_address(senderAddress);
    return message;
}

std::int64_t encodeInstant(Instant instant)
{
    return instant.time_since_epoch().count();
}

/// Returns an instant that is never negative and far enough from the limits for sums.
Instant decodeInstant(std::int64_t microseconds)
{
    constexpr std::int64_t maxInstant = std::numeric_limits<std::int64_t>::max() / 4;
    return Instant(Duration(std::clamp<std::int64_t>(microseconds, 0, maxInstant)));
}

Duration decodeDuration(std::int64_t microseconds)
{
    return std::clamp<Duration>(Duration(microseconds), Duration(0), maxTimeLeft);
}

void encodeFields(const HeaderFields &fields,
                  google::protobuf::RepeatedPtrField<proto::HeaderField> &encoded)
{
    for (const auto &[name, value] : fields) {
        proto::HeaderField &field = *encoded.Add();
        field.set_name(name);
        field.set_value(value);
    }
}

HeaderFields decodeFields(const google::protobuf::RepeatedPtrField<proto::HeaderField> &encoded)
{
    HeaderFields fields;
    for (const proto::HeaderField &field : encoded) {
        fields.emplace_back(field.name(), field.value());
    }
    return fields;
}

std::shared_ptr<const ForwardedReply> decodeForwardedReply(const proto::ForwardedReply &encoded)
{
    auto reply = std::make_shared<ForwardedReply>();
    reply->status = static_cast<int>(encoded.status());
    reply->reason = encoded.reason();
    reply->fields = decodeFields(encoded.fields());
    reply->body = encoded.body();
    return reply;
}

void encodeForwardedReply(const ForwardedReply &reply, proto::ForwardedReply &encoded)
{
    encoded.set_status(static_cast<std::uint32_t>(reply.status));
    encoded.set_reason(reply.reason);
    encodeFields(reply.fields, *encoded.mutable_fields());
    encoded.set_body(reply.body);
}

DelegatedRequest decodeRequest(const proto::DelegatedRequest &encoded)
{
    ForwardedRequest request;
    request.requestId = encoded.request_id();
    request.method = encoded.method();
    request.host = encoded.host();
    request.path = encoded.path();
    request.body = encoded.body();
    request.fields = decodeFields(encoded.fields());
    wire::takeIdentity(request);
    request.account = encoded.account();
    DelegatedRequest query;
    query.number = encoded.number();
    query.request = std::make_shared<const ForwardedRequest>(std::move(request));
    query.sentAt = decodeInstant(encoded.sent_at_us());
    query.objectiveLeft = decodeDuration(encoded.objective_left_us());
    query.timeLeft = decodeDuration(encoded.time_left_us());
    query.minConfigVersion = encoded.min_config_version();
    return query;
}

DelegationState decodeState(proto::DelegationState state)
{
    switch (state) {
    case proto::DELEGATION_ACCEPTED:
        return DelegationState::Accepted;
    case proto::DELEGATION_BUSY:
        return DelegationState::Busy;
    case proto::DELEGATION_LEAVING:
        return DelegationState::Leaving;
    case proto::DELEGATION_OUTDATED:
        return DelegationState::Outdated;
    case proto::DELEGATION_UNREACHABLE:
        return DelegationState::Unreachable;
    default:
        // A state of a later version can only be a reason for not starting the query.
        return DelegationState::Expired;
    }
}

proto::DelegationState encodeState(DelegationState state)
{
    switch (state) {
    case DelegationState::Accepted:
        return proto::DELEGATION_ACCEPTED;
    case DelegationState::Busy:
        return proto::DELEGATION_BUSY;
    case DelegationState::Leaving:
        return proto::DELEGATION_LEAVING;
    case DelegationState::Outdated:
        return proto::DELEGATION_OUTDATED;
    case DelegationState::Unreachable:
        return proto::DELEGATION_UNREACHABLE;
    case DelegationState::Expired:
        break;
    }
    return proto::DELEGATION_EXPIRED;
}

DelegationReceipt decodeReceipt(const proto::DelegationReceipt &encoded)
{
    DelegationReceipt receipt;
    receipt.number = encoded.number();
    receipt.state = decodeState(encoded.state());
    return receipt;
}

DelegatedAnswer decodeAnswer(const proto::DelegatedAnswer &encoded)
{
    DelegatedAnswer answer;
    answer.number = encoded.number();
    answer.requestId = encoded.request_id();
    answer.reply.status = static_cast<int>(encoded.status());
    answer.reply.partSignatures.assign(encoded.part_signatures().begin(),
                                       encoded.part_signatures().end());
    answer.reply.partsMissing = encoded.parts_missing();
    answer.reply.mergedBody = encoded.body();
    answer.reply.retryAfter = decodeDuration(encoded.retry_after_us());
    answer.reply.detail = encoded.detail();
    answer.configVersion = encoded.config_version();
    if (encoded.has_forwarded()) {
        answer.reply.forwarded = decodeForwardedReply(encoded.forwarded());
        answer.reply.status = answer.reply.forwarded->status;
    }
    if (!isFinalStatus(answer.reply.status)) {
        answer.reply = CallerReply();
        answer.reply.status = statusBadGateway;
        answer.reply.detail = "the instance that served the request for this one sent an invalid "
                              "status; the request may have run";
    }
    for (const std::string &target : encoded.leaving_targets()) {
        answer.leavingTargets.emplace_back(target);
    }
    return answer;
}

} // namespace

std::shared_ptr<const proto::PeerMessage> writeInquiry(const CoordinatorInquiry &inquiry,
                                                       const std::string &sender,
                                                       const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    message->mutable_coordinator_inquiry()->set_number(inquiry.number);
    message->mutable_coordinator_inquiry()->set_min_config_version(inquiry.minConfigVersion);
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeOffer(const CoordinatorOffer &offer,
                                                     const std::string &sender,
                                                     const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    proto::CoordinatorOffer &encoded = *message->mutable_coordinator_offer();
    encoded.set_number(offer.number);
    encoded.set_state(encodeState(offer.state));
    encoded.set_sent_at_us(encodeInstant(offer.sentAt));
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeDelegatedRequest(const DelegatedRequest &query,
                                                                const std::string &sender,
                                                                const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    proto::DelegatedRequest &encoded = *message->mutable_delegated_request();
    encoded.set_number(query.number);
    encoded.set_request_id(query.request->requestId);
    encoded.set_method(query.request->method);
    encoded.set_host(query.request->host);
    encoded.set_path(query.request->path);
    encoded.set_body(query.request->body);
    encodeFields(query.request->fields, *encoded.mutable_fields());
    // A member of a version without accounts sends all fields on.
    encodeFields(wire::identityToSend(*query.request), *encoded.mutable_fields());
    encoded.set_account(query.request->account);
    encoded.set_sent_at_us(encodeInstant(query.sentAt));
    encoded.set_objective_left_us(query.objectiveLeft.count());
    encoded.set_time_left_us(query.timeLeft.count());
    encoded.set_min_config_version(query.minConfigVersion);
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeCancellation(const CancelDelegation &cancellation,
                                                            const std::string &sender,
                                                            const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    message->mutable_delegation_cancel()->set_number(cancellation.number);
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeReceipt(const DelegationReceipt &receipt,
                                                       const std::string &sender,
                                                       const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    proto::DelegationReceipt &encoded = *message->mutable_delegation_receipt();
    encoded.set_number(receipt.number);
    encoded.set_state(encodeState(receipt.state));
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeDelegatedAnswer(const DelegatedAnswer &answer,
                                                               const std::string &sender,
                                                               const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    proto::DelegatedAnswer &encoded = *message->mutable_delegated_answer();
    encoded.set_number(answer.number);
    encoded.set_request_id(answer.requestId);
    encoded.set_status(static_cast<std::uint32_t>(answer.reply.status));
    for (const std::string &signature : answer.reply.partSignatures) {
        encoded.add_part_signatures(signature);
    }
    encoded.set_parts_missing(static_cast<std::uint32_t>(answer.reply.partsMissing));
    encoded.set_body(answer.reply.mergedBody);
    encoded.set_retry_after_us(answer.reply.retryAfter.count());
    encoded.set_detail(answer.reply.detail);
    encoded.set_config_version(answer.configVersion);
    if (answer.reply.forwarded != nullptr) {
        encodeForwardedReply(*answer.reply.forwarded, *encoded.mutable_forwarded());
    }
    for (const TargetId &target : answer.leavingTargets) {
        encoded.add_leaving_targets(target.value);
    }
    return message;
}

std::optional<GatewayEvent> readDelegationMessage(const proto::PeerMessage &message)
{
    const InstanceId member(message.sender());
    if (message.has_coordinator_inquiry()) {
        const proto::CoordinatorInquiry &inquiry = message.coordinator_inquiry();
        return InquiryReceived {
                member, message.sender_address(), {inquiry.number(), inquiry.min_config_version()}};
    }
    if (message.has_coordinator_offer()) {
        const proto::CoordinatorOffer &offer = message.coordinator_offer();
        return OfferReceived {
                member,
                {offer.number(), decodeState(offer.state()), decodeInstant(offer.sent_at_us())}};
    }
    if (message.has_delegated_request()) {
        return RequestDelegated {member, message.sender_address(),
                                 decodeRequest(message.delegated_request())};
    }
    if (message.has_delegation_receipt()) {
        return ReceiptReceived {member, decodeReceipt(message.delegation_receipt())};
    }
    if (message.has_delegated_answer()) {
        return DelegatedAnswerReceived {member, decodeAnswer(message.delegated_answer())};
    }
    if (message.has_delegation_cancel()) {
        return DelegationCancelled {member, message.delegation_cancel().number()};
    }
    return std::nullopt;
}

} // namespace lagoondeck
