#pragma once

#include "core/ids.h"

#include <cstdint>

namespace lagoondeck {

/// Identifies a caller's request with all its attempts; unique within the process.
using ExchangeId = StrongId<struct ExchangeTag, std::uint64_t>;

} // namespace lagoondeck
