#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace lagoondeck::proto {
class PeerMessage;
} // namespace lagoondeck::proto

namespace lagoondeck {

/// What bytes between this instance and another process are for.
enum class TrafficKind {
    TargetRequests,
    TargetReplies,
    /// Inquiries, offers, delegated requests and receipts.
    Delegations,
    DelegatedAnswers,
    /// Changes of the store that members pass on to one another.
    StoreUpdates,
    OtherPeerMessages,
};

inline constexpr std::size_t trafficKindCount = 6;

const char *toString(TrafficKind kind);

/// Returns what a message to another member is for.
TrafficKind trafficKindOf(const proto::PeerMessage &message);

/// Counts the bytes that this instance exchanges with targets and sends to members, by what they
/// are for and by whether they cross the border of its failure domain.
class DomainTraffic
{
public:
    struct Count
    {
        std::uint64_t inside = 0;
        std::uint64_t across = 0;
    };

    void add(TrafficKind kind, bool crossesDomains, std::size_t bytes);
    const Count &count(TrafficKind kind) const
    {
        return this->counts[static_cast<std::size_t>(kind)];
    }

private:
    std::array<Count, trafficKindCount> counts {};
};

} // namespace lagoondeck
