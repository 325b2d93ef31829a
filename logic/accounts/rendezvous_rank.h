#pragma once

#include "core/store_change.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lagoondeck {

/// A member with its rank for a name.
using RankedMember = std::pair<std::uint64_t, const MemberRecord *>;

/// Returns the rank of each member for the name. The members with the highest ranks hold what
/// belongs to the name, so that every instance finds the same ones without asking.
std::vector<RankedMember> rendezvousRanks(const std::vector<MemberRecord> &members,
                                          const std::string &name);

} // namespace lagoondeck
