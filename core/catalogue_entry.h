#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// How the shards' replies become one answer.
enum class MergeKind {
    Concatenate, ///< All hits, in shard order.
    TopK,        ///< The best hits of all shards by score.
};

/// One catalogue entry: an owner, a class of traffic and the limits that class may use.
struct CatalogueEntry
{
    EntryName name;
    std::string owner;
    /// The class of traffic; entries of one class share its metrics.
    std::string trafficClass;
    /// The service whose shards a query of this entry reads.
    ServiceName service;
    /// Queries a second over the whole cell.
    double ratePerSecond = 100.0;
    /// Queries in flight over the whole cell.
    std::uint32_t concurrency = 64;
    /// 0 is the highest; a class of a lower number outlasts the others in an overload.
    std::uint32_t priority = 5;
    /// The longest a caller of this entry waits.
    Duration deadline = std::chrono::milliseconds(150);
    /// The part of the needed shards, 0 to 1, below which an answer is a failure.
    double minimumCoverage = 1.0;
    /// Extra sub-requests by hedging, as a part of the first ones, 0 to 1.
    double hedgeBudget = 0.05;
    /// Send an unseen request to one target first.
    bool canary = false;
    MergeKind merge = MergeKind::Concatenate;
    /// Hits kept by MergeKind::TopK.
    std::uint32_t topK = 10;

    bool operator==(const CatalogueEntry &) const = default;
};

} // namespace lagoondeck
