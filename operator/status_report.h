#pragma once

#include "operator/fleet_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// One row for each entry instance.
std::string statusTable(const std::vector<NodeReport> &nodes);

nlohmann::json statusJson(const std::vector<NodeReport> &nodes);

} // namespace lagoondeck
