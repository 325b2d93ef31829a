#pragma once

#include <vector>

namespace lagoondeck {

/// Returns the largest share of a max-min fair division of the capacity: demands below it are met
/// in full, all others get exactly this share, and together they use the capacity. Returns infinity
/// when the capacity covers all demands.
double maxMinFairShare(std::vector<double> demands, double capacity);

} // namespace lagoondeck
