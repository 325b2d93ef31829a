#pragma once

#include <vector>

namespace lagoondeck {

/// Divides a limit over the members by what each wants. While the wants exceed the limit, the small
/// ones are met and the large ones get an equal rest; otherwise all are met and what remains is
/// divided equally, so that each can grow. The parts add up to the limit.
std::vector<double> divideLimit(double limit, const std::vector<double> &wanted);

} // namespace lagoondeck
