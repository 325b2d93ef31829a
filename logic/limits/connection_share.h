#pragma once

#include <cstdint>

namespace lagoondeck {

/// Returns the number of connections that one instance may open to one target. Each instance
/// computes it independently. The cap holds even if there are a quarter more instances than this
/// one knows, because membership views differ for a while and a new instance overlaps with the one
/// it replaces. When the cap is smaller than the number of instances, each instance still gets one
/// connection, and the target refuses connections above its cap.
std::uint32_t connectionShare(std::uint32_t connectionCap, std::uint32_t slots,
                              std::uint32_t instances);

} // namespace lagoondeck
