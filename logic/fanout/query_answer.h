#pragma once

#include "core/answer.h"
#include "core/time.h"
#include "logic/fanout/query.h"

namespace lagoondeck {

/// Sets why each shard that is still open is missing, as the query ends now.
void closeOpenShards(Query &query, Instant now);

/// The answer to a query whose shards are all settled. Takes the hits out of the query.
Answer answerOf(Query &query, Instant now);

} // namespace lagoondeck
