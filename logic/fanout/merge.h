#pragma once

#include "core/answer.h"
#include "logic/fanout/query.h"

namespace lagoondeck {

/// Returns the coverage of a query's shards, with a reason for each missing shard.
Coverage coverageOf(const Query &query);

/// Merges the hits of the answered shards in the way that the catalogue entry sets. The hits are
/// moved out of the query.
std::vector<Hit> mergeHits(Query &query);

} // namespace lagoondeck
