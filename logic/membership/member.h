#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// The status of a member. Within one incarnation, the later status in this order takes precedence.
enum class MemberStatus {
    Alive,
    Suspect, ///< It does not answer probes, but still counts as alive.
    Leaving, ///< It announced that it is stopping.
    Dead,
};

/// Returns the name of the status as it appears in logs and status reports.
const char *toString(MemberStatus status);

/// One entry instance of the cell.
struct Member
{
    InstanceId id;
    /// IP address and port for peer messages.
    std::string peerAddress;
    /// IP address and port for callers and operators.
    std::string httpAddress;
    FailureDomain failureDomain;
    MemberStatus status = MemberStatus::Alive;
    /// Increased only by the member itself, for example to refute a suspicion.
    std::uint64_t incarnation = 0;

    bool operator==(const Member &) const = default;
};

/// The members of the cell as this instance sees them. The views of different instances may differ
/// temporarily.
struct MembershipView
{
    Member self;
    /// The other members that are not dead, ordered by id.
    std::vector<Member> others;
};

} // namespace lagoondeck
