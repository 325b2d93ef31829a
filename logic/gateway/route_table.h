#pragma once

#include "core/routing_config.h"
#include "logic/accounts/account_directory.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Finds the route of a request in one version of the configuration.
class RouteTable
{
public:
    explicit RouteTable(RoutingConfigPtr config);

    /// Returns the route of the host with the longest prefix that the path starts with, or null
    /// when there is none.
    const Route *find(std::string_view host, std::string_view path) const;
    /// Returns how many more urgent priorities share the groups of the route. The priority of an
    /// account, which may be null, replaces that of the route.
    std::uint32_t urgencyRank(const Route &route, const ClientAccount *account = nullptr) const;
    /// The client accounts of the configuration.
    const AccountDirectory &accounts() const { return this->accountDirectory; }
    const RoutingConfigPtr &config() const { return this->routingConfig; }

private:
    void rankByUrgency();

    RoutingConfigPtr routingConfig;
    AccountDirectory accountDirectory;
    /// The routes of each host, longest prefix first.
    std::unordered_map<std::string_view, std::vector<const Route *>> routesByHost;
    /// The ranks of the priorities that requests of a route may have.
    std::unordered_map<const Route *, std::map<std::uint32_t, std::uint32_t>> urgencyRanks;
};

} // namespace lagoondeck
