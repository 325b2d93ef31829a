#pragma once

#include <cstddef>
#include <vector>

namespace lagoondeck {

/// The number of members to which one member sends an update. With up to this many other members,
/// all receive updates directly from the origin; 77 members take two hops and 5,200 take five.
inline constexpr std::size_t relayFanOut = 8;

/// Returns the members to which a member relays an update: its children in the tree of all members
/// that is rooted at the origin. Members are given by their position in name order. Returns an
/// empty list when origin or self is not less than count.
std::vector<std::size_t> relayChildren(std::size_t origin, std::size_t self, std::size_t count);

} // namespace lagoondeck
