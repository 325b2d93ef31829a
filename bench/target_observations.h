#pragma once

#include "bench/load_result.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace lagoondeck {

/// Fetches the stand-in targets' records from their control address. Fails with CallFailed or
/// MalformedInput.
boost::leaf::result<TargetObservations> fetchTargetObservations(const std::string &controlAddress);

} // namespace lagoondeck
