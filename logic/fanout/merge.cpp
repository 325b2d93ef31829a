#include "logic/fanout/merge.h"

#include "logic/invariant.h"

#include <algorithm>
#include <iterator>

namespace lagoondeck {

namespace {

/// Checks that an answered shard has a reply to an attempt sent for this shard, and that the reply
/// is from the query's snapshot.
void checkAnswered(const Query &query, const ShardWork &work)
{
    const auto detail = [&] { return std::to_string(work.shard.value); };
    ensure(work.answeredBy && work.answeredBy->shard == work.shard, Invariant::CoverageIsTrue,
           detail);
    ensure(work.answeredBy->snapshot == query.snapshot.version, Invariant::OneSnapshotPerAnswer,
           detail);
}

} // namespace

Coverage coverageOf(const Query &query)
{
    Coverage coverage;
    coverage.snapshot = query.snapshot.version;
    coverage.shardsNeeded = query.shardsNeeded;
    for (const ShardWork &work : query.shards) {
        if (work.phase == ShardPhase::Answered) {
            checkAnswered(query, work);
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
            checkAnswered(query, work);
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
