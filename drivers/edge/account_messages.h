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

// Encodes and decodes the peer messages about the caps of client accounts.

std::shared_ptr<const proto::PeerMessage> writeAccountAsk(const AskAccountTokens &ask,
                                                          const std::string &sender,
                                                          const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeAccountGrant(const GrantAccountTokens &grant,
                                                            const std::string &sender,
                                                            const std::string &senderAddress);

/// Returns std::nullopt if the message asks for no tokens. Counts above what an instance can need
/// are reduced.
std::optional<AccountTokensAsked> readAccountAsk(const proto::PeerMessage &message);
/// Returns std::nullopt if the message grants no tokens.
std::optional<AccountTokensGranted> readAccountGrant(const proto::PeerMessage &message);

} // namespace lagoondeck
