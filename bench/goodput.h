#pragma once

#include "bench/arrival.h"
#include "bench/load_plan.h"
#include "bench/request_record.h"

#include <string>
#include <vector>

namespace lagoondeck {

/// Returns the ratio of complete answers in time to the servable load, which is the smaller of the
/// offered load and the capacity of the targets' slots. Both are summed over short time steps and
/// over services.
double goodputRatio(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                    const std::vector<RequestRecord> &records);

/// Writes one line of tab-separated values for each short time step of the run, for plots: second,
/// offered, good, not run, others, median and 99th percentile in milliseconds.
std::string writeTimeline(const LoadPlan &plan, const std::vector<Arrival> &arrivals,
                          const std::vector<RequestRecord> &records);

} // namespace lagoondeck
