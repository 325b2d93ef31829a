#pragma once

#include "core/ids.h"
#include "core/store_change.h"
#include "core/time.h"
#include "logic/context.h"

#include <cstddef>
#include <vector>

namespace lagoondeck {

class CoordinatorHealth;

/// Chooses members that may serve a request which this instance can't send to the targets itself.
///
/// Any member may help. Random ones are chosen, so that the requests of instances that are cut off
/// together spread over all that are not: in turn one of the own failure domain, which is near, and
/// one of the others, which remain if the whole domain is cut off.
class HelperChoice
{
public:
    /// Sets the members of the fleet.
    void setMembers(const std::vector<MemberRecord> &members, const InstanceId &self,
                    const FailureDomain &domain);
    /// Returns up to `count` members that did not decline or ignore a request a short time ago.
    std::vector<MemberRecord> choose(std::size_t count, const CoordinatorHealth &health,
                                     Instant now, RandomEngine &random) const;

private:
    std::vector<MemberRecord> nearMembers;
    std::vector<MemberRecord> farMembers;
};

} // namespace lagoondeck
