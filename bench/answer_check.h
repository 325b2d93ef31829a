#pragma once

#include "bench/arrival.h"
#include "bench/load_plan.h"
#include "bench/request_record.h"

#include <string>

namespace lagoondeck {

/// Parses an entry instance's reply and checks what can be checked without the targets' records: it
/// belongs to the request, uses one snapshot, and its coverage matches its hits.
RequestRecord checkAnswer(const LoadStream &stream, const Arrival &arrival,
                          const std::string &reply);

} // namespace lagoondeck
