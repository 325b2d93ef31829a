#pragma once

#include "bench/arrival.h"
#include "bench/load_plan.h"
#include "bench/request_record.h"

#include <string>
#include <vector>

namespace lagoondeck {

/// Whole answers in time, as a part of the smaller of what was offered and what the targets' slots
/// could serve, summed over short steps of time and over services.
double goodputRatio(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                    const std::vector<RequestRecord> &records);

/// One line of tab-parted figures for each short step of the run, for plots: second, offered, good,
/// not run, others, median and 99th percentile in milliseconds.
std::string writeTimeline(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                          const std::vector<RequestRecord> &records);

} // namespace lagoondeck
