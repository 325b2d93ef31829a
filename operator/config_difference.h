#pragma once

#include "core/routing_config.h"
#include "operator/config_finding.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

enum class DifferenceKind {
    Added,
    Removed,
    Changed,
};

std::string_view toString(DifferenceKind kind);

/// One difference between two configurations. The texts contain no keys.
struct ConfigDifference
{
    DifferenceKind kind;
    /// The route, account or group, for example "route fit".
    std::string subject;
    /// What has changed; empty if the subject was added or removed.
    std::string detail;

    bool operator==(const ConfigDifference &) const = default;
};

/// Returns what a new configuration changes in the one in force. Routes, accounts and groups are
/// compared by name.
std::vector<ConfigDifference> compareConfigs(const RoutingConfig &inForce,
                                             const RoutingConfig &config);

/// Returns a finding if instances would ignore the new configuration because of its version.
std::optional<ConfigFinding> checkVersion(const RoutingConfig &inForce,
                                          const RoutingConfig &config);

} // namespace lagoondeck
