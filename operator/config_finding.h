#pragma once

#include <string>
#include <string_view>

namespace lagoondeck {

/// What is wrong with a configuration that can be read.
enum class ConfigFindingKind {
    ShadowedRoute,      ///< Another route with the same host and prefix comes first.
    RepeatedRouteName,  ///< Metrics and logs of two routes can't be told apart.
    GroupWithoutWeight, ///< A group of a split never gets a request.
    UnknownGroup,       ///< No service entry describes the group.
    SharedKey,          ///< A key that two accounts list belongs to neither.
    UnusableKey,        ///< No request can carry the key.
    AccountWithoutKeys, ///< No request can belong to the account.
    RepeatedAccount,    ///< Two accounts have the same name.
    DisjointRegions,    ///< No target may serve the account's requests on the route.
    ObjectiveAboveTimeout,
    RepeatedAttempts, ///< Attempts beyond the first on a route whose requests may run only once.
    CoverageWithoutEffect, ///< No set of answered groups misses the minimum coverage.
    BurstWithoutRate,      ///< A burst limits nothing if there is no rate.
    VersionNotNewer,       ///< Instances ignore a version that is not above the one in force.
};

/// Returns a stable name for scripts.
std::string_view toString(ConfigFindingKind kind);

/// One fault of a configuration. The texts contain no keys.
struct ConfigFinding
{
    ConfigFindingKind kind;
    /// The route, account or group, for example "route fit".
    std::string subject;
    std::string detail;

    bool operator==(const ConfigFinding &) const = default;
};

} // namespace lagoondeck
