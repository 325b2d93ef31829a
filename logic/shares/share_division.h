#pragma once

#include <vector>

namespace lagoondeck {

/// Divides a limit between the members by their demands. When the demands exceed the limit, small
/// ones are met in full and the large ones get equal parts of the remainder. Otherwise all are met
/// and the remainder is divided equally, so that each member's load can grow. The parts add up to
/// the limit.
std::vector<double> divideLimit(double limit, const std::vector<double> &demands);

} // namespace lagoondeck
