#pragma once

#include "logic/gateway/exchange.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// The size of every record. A shorter remainder at the end of a body is ignored.
constexpr std::size_t recordBytes = 16;

/// Returns the `topK` greatest records of all bodies in descending order. Records are compared as
/// unsigned bytes.
std::string mergeRecords(const std::vector<std::string_view> &bodies, std::size_t topK);

/// Merges the replies of all answered parts of a gathered exchange into one reply.
CallerReply mergedReply(const Exchange &exchange);

} // namespace lagoondeck
