#pragma once

#include "operator/fleet_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// Writes a table with one row for each entry instance.
std::string statusTable(const std::vector<InstanceReport> &reports);

nlohmann::json statusJson(const std::vector<InstanceReport> &reports);

} // namespace lagoondeck
