#pragma once

#include "logic/gateway/exchange.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// Every record has this many bytes; a shorter rest of a body is none.
constexpr std::size_t recordBytes = 16;

/// The greatest records of all bodies, greatest first, compared byte by byte.
std::string mergeRecords(const std::vector<std::string_view> &bodies, std::size_t topK);

/// The merged answer of the parts that have answered.
CallerReply mergedReply(const Exchange &exchange);

} // namespace lagoondeck
