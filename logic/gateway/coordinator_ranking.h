#pragma once

#include "core/ids.h"
#include "core/store_change.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

/// The coordinators of one failure domain that an instance uses, the preferred one first.
struct DomainCoordinators
{
    FailureDomain domain;
    std::vector<MemberRecord> members;
};

/// The members that coordinate gathered requests for others, as one instance sees them.
struct CoordinatorRanking
{
    /// Whether the instance itself is a coordinator.
    bool includesSelf = false;
    /// All coordinators of all domains.
    std::vector<MemberRecord> coordinators;
    std::vector<DomainCoordinators> domains;
};

/// Ranks the coordinators in the domains that hold replicas.
///
/// Every instance computes the same coordinators from the same members, without an election: in
/// each domain the members with the largest capacity. Their number grows with the fleet, so that
/// the number of instances connected to one coordinator stays bounded, and each instance uses two
/// of them by rendezvous hashing. Instances that see different members choose different
/// coordinators, which does no harm. The result is empty if the fleet is too small to gain from
/// coordinators.
CoordinatorRanking rankCoordinators(const std::map<std::string, MemberRecord> &members,
                                    const std::vector<FailureDomain> &domains,
                                    const InstanceId &self);

} // namespace lagoondeck
