#pragma once

#include "bench/arrival.h"
#include "bench/load_plan.h"
#include "bench/request_record.h"

#include <string>

namespace lagoondeck {

/// Reads an entry instance's reply and checks that it is true as far as the reply alone tells: it
/// belongs to the request, is of one snapshot, and its coverage matches its hits.
RequestRecord checkAnswer(const LoadStream &stream, const Arrival &arrival,
                          const std::string &reply);

} // namespace lagoondeck
