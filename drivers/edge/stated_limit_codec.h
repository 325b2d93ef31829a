#pragma once

#include "logic/gateway/stated_limit.h"
#include "proto/peer.pb.h"

#include <vector>

namespace lagoondeck {

using StatedLimitRows = google::protobuf::RepeatedPtrField<proto::StatedLimit>;

void writeStatedLimits(const std::vector<StatedLimit> &limits, StatedLimitRows &rows);
/// Limits that are no rates are left out.
std::vector<StatedLimit> readStatedLimits(const StatedLimitRows &rows);

} // namespace lagoondeck
