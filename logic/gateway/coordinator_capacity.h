#pragma once

#include "core/gateway_settings.h"

#include <cstdint>

namespace lagoondeck {

/// Returns how many parts of gathered requests an instance can coordinate per second for other
/// members without delaying them. Returns 0 if its settings don't tell its processor share.
std::uint32_t coordinatorCapacity(const GatewaySettings &settings);

/// Returns how many parts of requests an instance sends per second for members that ask it. If its
/// settings don't tell its processor share, this is what a small share allows.
std::uint32_t delegationCapacity(const GatewaySettings &settings);

} // namespace lagoondeck
