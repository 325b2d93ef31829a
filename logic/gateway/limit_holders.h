#pragma once

#include "core/ids.h"
#include "core/store_change.h"

#include <vector>

namespace lagoondeck {

/// Returns the members among which a target's limit is divided equally.
///
/// These are all candidates if each can then send a request now and then. A limit that is too small
/// for that is divided among a few of them, chosen by rendezvous hashing, so that every instance
/// finds the same ones without asking. Instances that see different members choose slightly
/// different holders, which the tolerance of the limit covers.
std::vector<MemberRecord> limitHolders(const std::vector<MemberRecord> &candidates,
                                       const TargetId &target, double perSecond);

} // namespace lagoondeck
