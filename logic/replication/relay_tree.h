#pragma once

#include <cstddef>
#include <vector>

namespace lagoondeck {

/// The number of members to which a member sends an update inside a failure domain.
inline constexpr std::size_t relayFanOut = 8;
/// The number of members of each other failure domain to which the origin of an update sends it.
/// Each of them passes it on inside its domain. With several of them, one that is gone costs only
/// its own part of the domain.
inline constexpr std::size_t relayEntriesPerDomain = 3;

/// Returns the members to which a member sends an update. All members and the origin make up a
/// tree, in which an update crosses the border of each failure domain only a few times, however
/// many members there are.
///
/// Members are given by their position in name order, `domains` by the number of each member's
/// failure domain. Returns an empty list when origin or self is no member.
std::vector<std::size_t> relayChildren(const std::vector<std::size_t> &domains, std::size_t origin,
                                       std::size_t self);

} // namespace lagoondeck
