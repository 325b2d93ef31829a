#pragma once

#include "core/routing_config.h"
#include "core/target_record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace lagoondeck {

/// An entry instance's own registration in the store.
struct MemberRecord
{
    InstanceId id;
    /// IP address and port for peer messages.
    std::string peerAddress;
    FailureDomain failureDomain;
    /// How many parts of gathered requests the instance can coordinate per second for other
    /// members. 0 if it does not coordinate requests.
    std::uint32_t partsPerSecond = 0;

    bool operator==(const MemberRecord &) const = default;
};

/// A request that is refused because it crashed targets.
struct QuarantineRecord
{
    /// The fingerprint of the request.
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;

    bool operator==(const QuarantineRecord &) const = default;
};

/// What a key of the store describes.
enum class StoreKeyKind {
    Config,
    Target,
    Member,
    Quarantine,
    Evacuation, ///< Nothing may be sent to the targets of a failure domain while the key exists.
    Other,      ///< A key of another user of the store.
};

/// The decoded value of a key; std::monostate when the key was removed or its value can't be read.
using StoreContent = std::variant<std::monostate, RoutingConfigPtr, TargetRecord, MemberRecord,
                                  QuarantineRecord>;

/// A write or removal of one key in the store.
struct StoreChange
{
    StoreKeyKind kind = StoreKeyKind::Other;
    std::string key;
    /// The encoded value as it was written, for sending it to peers.
    std::shared_ptr<const std::string> encodedValue;
    /// The id of the target, member or quarantine, or the failure domain that is evacuated.
    std::string id;
    std::uint64_t revision = 0;
    bool removed = false;
    StoreContent content;
    /// Why the content can't be read; empty when it can.
    std::string problem;
};

} // namespace lagoondeck
