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

/// The peer message that carries news.
std::shared_ptr<const proto::PeerMessage>
writeNews(const StoreUpdate &news, const std::string &sender, const std::string &senderAddress);

/// The news that a peer message carries; empty when it carries none.
std::optional<StoreUpdateReceived> readNews(const proto::PeerMessage &message);

} // namespace lagoondeck
