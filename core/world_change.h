#pragma once

#include "core/routing_config.h"
#include "core/target_record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace lagoondeck {

/// An entry instance as it registered itself in the store.
struct MemberRecord
{
    InstanceId id;
    /// IP number and port for peer messages.
    std::string peerAddress;

    bool operator==(const MemberRecord &) const = default;
};

/// Which part of the world a key of the store belongs to.
enum class WorldPart {
    Config,
    Target,
    Member,
    Other, ///< Not ours to read.
};

/// What a key holds; monostate when it was removed or can't be read.
using WorldContent = std::variant<std::monostate, RoutingConfigPtr, TargetRecord, MemberRecord>;

/// One key of the store as it was written or removed.
struct WorldChange
{
    WorldPart part = WorldPart::Other;
    std::string key;
    /// The value as it was written, to be told to peers.
    std::shared_ptr<const std::string> raw;
    /// The target's or member's id.
    std::string id;
    std::uint64_t revision = 0;
    bool removed = false;
    WorldContent content;
    /// Why the content can't be read; empty when it can.
    std::string problem;
};

} // namespace lagoondeck
