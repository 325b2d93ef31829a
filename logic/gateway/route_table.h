#pragma once

#include "core/routing_config.h"

#include <cstdint>
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
    /// Returns how many more urgent priorities have routes to the same groups as the route.
    std::uint32_t urgencyRank(const Route &route) const { return this->urgencyRanks.at(&route); }
    const RoutingConfigPtr &config() const { return this->routingConfig; }

private:
    void rankByUrgency();

    RoutingConfigPtr routingConfig;
    /// The routes of each host, longest prefix first.
    std::unordered_map<std::string_view, std::vector<const Route *>> routesByHost;
    std::unordered_map<const Route *, std::uint32_t> urgencyRanks;
};

} // namespace lagoondeck
