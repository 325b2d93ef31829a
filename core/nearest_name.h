#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

/// Returns the known name that is most similar to an unknown one, for example "stopBoundMs" for
/// "stopBound", or an empty string when none is similar.
std::string nearestName(std::string_view unknown, const std::vector<std::string> &known);

} // namespace lagoondeck
