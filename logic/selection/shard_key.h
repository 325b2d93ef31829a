#pragma once

#include "core/ids.h"

#include <compare>

namespace lagoondeck {

/// Identifies one shard of one service. The targets with the same key are replicas.
struct ShardKey
{
    ServiceName service;
    ShardId shard;

    auto operator<=>(const ShardKey &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lagoondeck
