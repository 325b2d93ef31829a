#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// How the shards' replies are merged into one answer.
enum class MergeKind {
    Concatenate, ///< All hits, in shard order.
    TopK,        ///< The hits with the highest scores of all shards.
};

/// One catalogue entry: an owner, a class of traffic and the limits on that traffic.
struct CatalogueEntry
{
    EntryName name;
    std::string owner;
    /// The class of traffic. Entries of one class are counted together in the metrics.
    std::string trafficClass;
    /// The service whose shards a query of this entry reads.
    ServiceName service;
    /// The maximum number of queries per second in the whole cell.
    double ratePerSecond = 100.0;
    /// The maximum number of queries in flight in the whole cell.
    std::uint32_t concurrency = 64;
    /// 0 is the highest priority. In an overload, queries with higher numbers are refused first.
    std::uint32_t priority = 5;
    /// The maximum time that a caller of this entry waits for an answer.
    Duration deadline = std::chrono::milliseconds(150);
    /// The minimum fraction of the needed shards, 0 to 1, that an answer must contain.
    double minimumCoverage = 1.0;
    /// The maximum number of hedges, as a fraction, 0 to 1, of the first sub-requests.
    double hedgeBudget = 0.05;
    /// Whether a request that was not seen before is first sent to a single target.
    bool canary = false;
    MergeKind merge = MergeKind::Concatenate;
    /// The number of hits that MergeKind::TopK keeps.
    std::uint32_t topK = 10;

    bool operator==(const CatalogueEntry &) const = default;
};

} // namespace lagoondeck
