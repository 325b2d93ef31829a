#pragma once

#include "core/routing_config.h"
#include "operator/config_finding.h"

#include <vector>

namespace lagoondeck {

/// Returns the entries that can never match and the limits that contradict each other.
std::vector<ConfigFinding> checkConfig(const RoutingConfig &config);

} // namespace lagoondeck
