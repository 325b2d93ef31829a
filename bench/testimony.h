#pragma once

#include "bench/load_result.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace lagoondeck {

/// Asks the stand-in targets at their control address what ran. Fails with CallFailed or
/// MalformedInput.
boost::leaf::result<TargetsTestimony> askTargets(const std::string &controlAddress);

} // namespace lagoondeck
