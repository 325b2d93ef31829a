#pragma once

#include <cstdint>

namespace lagoondeck {

/// What one instance may open to one target.
/// Every instance works it out alone, so the sum keeps to the cap while views agree; the remainder
/// is the reserve for views that differ and for instances that replace one another.
std::uint32_t connectionShare(std::uint32_t connectionCap, std::uint32_t slots,
                              std::uint32_t instances);

} // namespace lagoondeck
