#pragma once

#include "core/ids.h"

#include <vector>

namespace lagoondeck {

struct MembershipView;

/// Returns the members that watch the store, chosen by rendezvous hashing: in each failure domain
/// the member with the highest hash weight, and at least three in total if there are that many.
/// Instances with different views may choose different watchers, which is harmless.
std::vector<InstanceId> chooseWatchers(const MembershipView &view);

/// Returns whether this instance is one of the watchers.
bool isWatcher(const MembershipView &view);

} // namespace lagoondeck
