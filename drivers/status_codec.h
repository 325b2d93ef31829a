#pragma once

#include "logic/node_status.h"

#include <string>

namespace lagoondeck {

/// Writes what GET /v1/status answers.
std::string writeStatus(const NodeStatus &status);

} // namespace lagoondeck
