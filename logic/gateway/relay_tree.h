#pragma once

#include <cstddef>
#include <vector>

namespace lagoondeck {

/// How many members one member passes news on to. Fleets of up to so many others hear all news
/// directly; 77 members take two hops and 5,200 take five.
inline constexpr std::size_t relayFanOut = 8;

/// Whom a member passes news on to: its children in the tree of all members that is rooted at the
/// origin. Places count the members in the order of their names; empty for places beyond the count.
std::vector<std::size_t> relayChildren(std::size_t origin, std::size_t self, std::size_t count);

} // namespace lagoondeck
