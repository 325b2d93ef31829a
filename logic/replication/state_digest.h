#pragma once

#include "core/store_change.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

/// The number of parts into which the known state is divided for comparing it with another
/// member's. A request with all hashes takes 512 bytes.
inline constexpr std::size_t stateBuckets = 64;

/// Returns the part of the state that a key belongs to.
std::size_t bucketOf(const std::string &key);

/// Returns a hash of what a key holds, without heartbeats.
std::uint64_t contentHash(const StoreChange &item);

/// Returns a hash of each part of the state. Equal hashes mean equal content but for heartbeats.
/// The configuration is left out, because it is compared by its version.
std::vector<std::uint64_t> bucketDigests(const std::map<std::string, StoreChange> &state);

} // namespace lagoondeck
