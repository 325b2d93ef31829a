#pragma once

#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <memory>
#include <optional>
#include <string>

namespace lagoondeck {

namespace proto {
class PeerMessage;
}

// Encodes and decodes the peer messages about queries that one member coordinates for another.

std::shared_ptr<const proto::PeerMessage> writeInquiry(const CoordinatorInquiry &inquiry,
                                                       const std::string &sender,
                                                       const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeOffer(const CoordinatorOffer &offer,
                                                     const std::string &sender,
                                                     const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeDelegatedRequest(const DelegatedRequest &query,
                                                                const std::string &sender,
                                                                const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeCancellation(const CancelDelegation &cancellation,
                                                            const std::string &sender,
                                                            const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeReceipt(const DelegationReceipt &receipt,
                                                       const std::string &sender,
                                                       const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeDelegatedAnswer(const DelegatedAnswer &answer,
                                                               const std::string &sender,
                                                               const std::string &senderAddress);

/// Returns the event that the message carries, or std::nullopt if it is about something else or is
/// incomplete.
std::optional<GatewayEvent> readDelegationMessage(const proto::PeerMessage &message);

} // namespace lagoondeck
