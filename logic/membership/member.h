#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// How a member is seen. Of one incarnation, the later one in this order wins.
enum class MemberStatus {
    Alive,
    Suspect, ///< It does not answer probes; it still counts as live.
    Leaving, ///< It announced that it stops.
    Dead,
};

/// The status' name in logs and reports.
const char *toString(MemberStatus status);

/// One entry instance of the cell.
struct Member
{
    InstanceId id;
    /// IP number and port for peer messages.
    std::string peerAddress;
    /// IP number and port for callers and operators.
    std::string httpAddress;
    FailureDomain failureDomain;
    MemberStatus status = MemberStatus::Alive;
    /// Grown only by the member itself, to refute a suspicion.
    std::uint64_t incarnation = 0;

    bool operator==(const Member &) const = default;
};

/// The cell as this node sees it. Views of different nodes may differ for a while.
struct MembershipView
{
    Member self;
    /// The other members that are not dead, by id.
    std::vector<Member> others;
};

} // namespace lagoondeck
