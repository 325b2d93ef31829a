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

/// Returns the peer message that carries a store update. Large values are compressed if the
/// receivers accept that.
std::shared_ptr<const proto::PeerMessage> writeStoreUpdate(const StoreUpdate &update,
                                                           bool mayCompress,
                                                           const std::string &sender,
                                                           const std::string &senderAddress);

/// Returns the store update in a peer message, or std::nullopt if it has none.
std::optional<StoreUpdateReceived> readStoreUpdate(const proto::PeerMessage &message);

} // namespace lagoondeck
