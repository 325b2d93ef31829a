#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// The known name that a wrong one most likely means, for example "stopBoundMs" for "stopBound".
/// Empty when none is near.
std::string nearestName(std::string_view wrong, const std::vector<std::string> &known);

} // namespace lagoondeck
