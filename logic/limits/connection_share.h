#pragma once

#include <cstdint>

namespace lagoondeck {

/// What one instance may open to one target, worked out by each instance alone.
/// A quarter more instances than this one sees may take their shares without passing the cap: views
/// differ for a while, and a new instance overlaps with the one it replaces. With fewer connections
/// than that each instance still gets one, and the target refuses what passes its cap.
std::uint32_t connectionShare(std::uint32_t connectionCap, std::uint32_t slots,
                              std::uint32_t instances);

} // namespace lagoondeck
