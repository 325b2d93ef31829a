#pragma once

#include "core/ids.h"
#include "logic/policy.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoondeck {

/// One member of the cell as this instance sees it.
struct MemberStatusRow
{
    InstanceId id;
    FailureDomain failureDomain;
    std::string state;
};

/// This instance's share of an entry's rate limit.
struct ShareRow
{
    EntryName entry;
    double ratePerSecond = 0.0;
    /// The entry's rate limit for the whole cell.
    double limit = 0.0;
};

/// The status that an instance reports about itself.
struct NodeStatus
{
    InstanceId id;
    FailureDomain failureDomain;
    bool ready = false;
    bool stopping = false;
    Revision catalogueRevision;
    std::vector<EntryName> entries;
    std::vector<ShareRow> shares;
    std::vector<MemberStatusRow> members;
    std::size_t targets = 0;
    std::size_t targetsLeaving = 0;
    std::size_t connections = 0;
    std::size_t queriesInFlight = 0;
    std::size_t attemptsInFlight = 0;
};

} // namespace lagoondeck
