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

// Encodes and decodes the peer messages by which an instance learns what other members know.

std::shared_ptr<const proto::PeerMessage>
writeLearnedStateRequest(const std::string &sender, const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeLearnedState(const LearnedState &state,
                                                            const std::string &sender,
                                                            const std::string &senderAddress);

/// Returns std::nullopt if the message is no such request.
std::optional<LearnedStateRequested> readLearnedStateRequest(const proto::PeerMessage &message);
/// Returns std::nullopt if the message has no learned state. Limits that are no rates are left out.
std::optional<LearnedStateReceived> readLearnedState(const proto::PeerMessage &message);

} // namespace lagoondeck
