#pragma once

#include "core/gateway_settings.h"

#include <cstdint>

namespace lagoondeck {

/// Returns how many parts of gathered requests an instance can coordinate per second for other
/// members without delaying them. Returns 0 if its settings don't tell its processor share.
std::uint32_t coordinatorCapacity(const GatewaySettings &settings);

} // namespace lagoondeck
