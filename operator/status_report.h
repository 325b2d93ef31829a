#pragma once

#include "operator/fleet_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// One row for each entry instance.
std::string statusTable(const std::vector<NodeStatus> &nodes);

nlohmann::json statusJson(const std::vector<NodeStatus> &nodes);

} // namespace lagoondeck
