#include "logic/fanout/merge.h"

#include "logic/invariant.h"

#include <algorithm>
#include <iterator>

namespace lagoondeck {

Coverage coverageOf(const Query &query)
{
    Coverage coverage;
    coverage.snapshot = query.snapshot.version;
    coverage.shardsNeeded = static_cast<std::uint32_t>(query.shards.size());
    for (const ShardWork &work : query.shards) {
        if (work.phase == ShardPhase::Answered) {
            ++coverage.shardsAnswered;
            coverage.documentsAnswered += work.documents;
        } else {
            coverage.missing.push_back({work.shard, work.reason});
        }
    }
    ensure(coverage.shardsNeeded == coverage.shardsAnswered + coverage.missing.size(),
           Invariant::CoverageAddsUp);
    return coverage;
}

std::vector<Hit> mergeHits(Query &query)
{
    std::vector<Hit> hits;
    for (ShardWork &work : query.shards) {
        if (work.phase == ShardPhase::Answered) {
            std::ranges::move(work.hits, std::back_inserter(hits));
        }
    }
    if (query.entry.merge == MergeKind::TopK) {
        std::ranges::stable_sort(hits, std::greater {}, &Hit::score);
        hits.resize(std::min<std::size_t>(hits.size(), query.entry.topK));
    }
    return hits;
}

} // namespace lagoondeck
