#pragma once

#include "core/answer.h"
#include "logic/fanout/query.h"

namespace lagoondeck {

/// What a query's shards cover, each missing one with its reason.
Coverage coverageOf(const Query &query);

/// The hits of the answered shards, put together as the entry says. Takes them out of the query.
std::vector<Hit> mergeHits(Query &query);

} // namespace lagoondeck
