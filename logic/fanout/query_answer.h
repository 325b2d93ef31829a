#pragma once

#include "core/answer.h"
#include "core/time.h"
#include "logic/fanout/query.h"

namespace lagoondeck {

/// Marks each shard that is still open as missing, with a reason that depends on whether the
/// deadline has passed. Called when the query ends.
void markOpenShardsMissing(Query &query, Instant now);

/// Builds the answer to a query without open shards. The hits are moved out of the query.
Answer buildAnswer(Query &query, Instant now);

} // namespace lagoondeck
