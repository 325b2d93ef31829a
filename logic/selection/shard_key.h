#pragma once

#include "core/ids.h"

#include <compare>

namespace lagoondeck {

/// Names one shard of one service; the targets of one key are replicas.
struct ShardKey
{
    ServiceName service;
    ShardId shard;

    auto operator<=>(const ShardKey &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lagoondeck
