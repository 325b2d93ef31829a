#pragma once

#include <vector>

namespace lagoondeck {

/// The level of a max-min fair division: who wants less gets all of it, everyone else gets the
/// level, and together they get the capacity. Infinite when the capacity is enough for all.
double fairLevel(std::vector<double> wanted, double capacity);

} // namespace lagoondeck
