// The part of GatewayNode that performs the effects of its gateway.

#include "core/os/clock.h"
#include "drivers/edge/account_messages.h"
#include "drivers/edge/delegation_messages.h"
#include "drivers/edge/gateway_node.h"
#include "drivers/edge/learned_state_messages.h"
#include "drivers/edge/peer_messages.h"
#include "drivers/edge/peer_store_update.h"
#include "platform/message_codec.h"
#include "proto/peer.pb.h"

#include <utility>

namespace lagoondeck {

const MemberRecord *GatewayNode::findMember(const std::string &address)
{
    this->memberAddresses.update(this->gateway.members(), this->gateway.memberRevision());
    return this->memberAddresses.find(address);
}

void GatewayNode::sendToMember(const std::string &address,
                               const std::shared_ptr<const proto::PeerMessage> &message)
{
    const MemberRecord *member = this->findMember(address);
    const bool crossesDomains =
            member != nullptr && member->failureDomain != this->settings.failureDomain;
    this->traffic.add(trafficKindOf(*message), crossesDomains, message->ByteSizeLong());
    this->peers.send(address, message);
}

void GatewayNode::execute(StartAttempt &effect)
{
    this->targets.startAttempt(effect, monotonicNow());
}

void GatewayNode::execute(CloseAttempt &effect)
{
    this->targets.closeAttempt(effect.attempt);
}

void GatewayNode::execute(WithdrawUnsentAttempts &)
{
    this->targets.withdrawUnsent();
}

void GatewayNode::execute(ProbePath &effect)
{
    this->targets.probe(effect, monotonicNow());
}

void GatewayNode::execute(AnswerExchange &effect)
{
    this->metrics.record(effect.end);
    const auto found = this->exchanges.find(effect.exchange);
    if (found == this->exchanges.end()) {
        return;
    }
    const PendingRequest pending = std::move(found->second);
    this->exchanges.erase(found);
    this->exchangeByConnection.erase(pending.connection);
    if (ServerConnection *connection = this->callerListener->find(pending.connection)) {
        const bool close = pending.close || this->stopRequestedAt.has_value();
        connection->answer(wire::writeCallerReply(effect.reply, pending.method, close), close,
                           monotonicNow());
        if (!effect.reply.partSignatures.empty()) {
            this->pendingEvents.push_back(AnswerWritten {monotonicNow() - this->appliedAt});
        }
    }
}

void GatewayNode::execute(CallStore &effect)
{
    this->store.call(effect, monotonicNow());
}

void GatewayNode::execute(DropIdleConnections &)
{
    this->targets.dropIdle();
    this->store.dropIdle();
}

void GatewayNode::execute(SendStoreUpdate &effect)
{
    // The same message goes to all receivers of one kind.
    std::shared_ptr<const proto::PeerMessage> plain;
    std::shared_ptr<const proto::PeerMessage> compressed;
    for (const std::string &receiver : effect.receivers) {
        const MemberRecord *member = this->findMember(receiver);
        const bool mayCompress = effect.update->acceptsCompression
                || (member != nullptr && member->acceptsCompression);
        auto &message = mayCompress ? compressed : plain;
        if (message == nullptr) {
            message = writeStoreUpdate(*effect.update, mayCompress, this->settings.id.value,
                                       this->settings.peerAddress);
        }
        this->sendToMember(receiver, message);
    }
}

void GatewayNode::execute(RequestBudget &effect)
{
    this->sendToMember(
            effect.receiver,
            writeBudgetRequest(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(LendBudget &effect)
{
    this->sendToMember(
            effect.receiver,
            writeBudgetLoan(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(ReportCrash &effect)
{
    const auto message =
            writeCrashReport(effect, this->settings.id.value, this->settings.peerAddress);
    for (const std::string &receiver : effect.receivers) {
        this->sendToMember(receiver, message);
    }
}

void GatewayNode::execute(ReportLimits &effect)
{
    const auto message =
            writeLimitReport(effect.report, this->settings.id.value, this->settings.peerAddress);
    for (const std::string &receiver : effect.receivers) {
        this->sendToMember(receiver, message);
    }
}

void GatewayNode::execute(RequestLimit &effect)
{
    this->sendToMember(
            effect.receiver,
            writeLimitRequest(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(LendLimit &effect)
{
    this->sendToMember(effect.receiver,
                       writeLimitLoan(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(RequestLearnedState &effect)
{
    const auto message =
            writeLearnedStateRequest(this->settings.id.value, this->settings.peerAddress);
    for (const std::string &receiver : effect.receivers) {
        this->sendToMember(receiver, message);
    }
}

void GatewayNode::execute(SendLearnedState &effect)
{
    this->sendToMember(
            effect.receiver,
            writeLearnedState(effect.state, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(AskAccountTokens &effect)
{
    this->peers.send(effect.receiver,
                     writeAccountAsk(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(GrantAccountTokens &effect)
{
    this->peers.send(
            effect.receiver,
            writeAccountGrant(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(SendInquiry &effect)
{
    this->sendToMember(
            effect.receiver,
            writeInquiry(effect.inquiry, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(SendOffer &effect)
{
    this->sendToMember(
            effect.receiver,
            writeOffer(effect.offer, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(DelegateRequest &effect)
{
    this->sendToMember(effect.receiver,
                       writeDelegatedRequest(effect.query, this->settings.id.value,
                                             this->settings.peerAddress));
}

void GatewayNode::execute(CancelDelegation &effect)
{
    this->sendToMember(
            effect.receiver,
            writeCancellation(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(SendReceipt &effect)
{
    this->sendToMember(
            effect.receiver,
            writeReceipt(effect.receipt, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(SendDelegatedAnswer &effect)
{
    this->sendToMember(effect.receiver,
                       writeDelegatedAnswer(effect.answer, this->settings.id.value,
                                            this->settings.peerAddress));
    this->pendingEvents.push_back(AnswerWritten {monotonicNow() - this->appliedAt});
}

void GatewayNode::execute(WriteLog &effect)
{
    this->log(effect);
}

void GatewayNode::log(const WriteLog &entry)
{
    this->jsonLog.write(entry, monotonicNow(), wallNow());
}

} // namespace lagoondeck
