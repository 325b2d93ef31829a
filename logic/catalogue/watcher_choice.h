#pragma once

#include "core/ids.h"

#include <vector>

namespace lagoondeck {

struct MembershipView;

/// The members that watch the store: in each failure domain the one of the highest random weight,
/// and at least three in all. Views that differ give other watchers, which is harmless.
std::vector<InstanceId> chooseWatchers(const MembershipView &view);

/// Whether this node is one of them.
bool isWatcher(const MembershipView &view);

} // namespace lagoondeck
