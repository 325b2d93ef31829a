#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string_view>

namespace lagoondeck {

/// Identifies requests with the same content: a hash of the catalogue entry's name and the body.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

Fingerprint fingerprintOf(const EntryName &entry, std::string_view body);

} // namespace lagoondeck
