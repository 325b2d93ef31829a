#pragma once

#include "core/routing_config.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Finds the route of a request in one version of the configuration.
class RouteTable
{
public:
    explicit RouteTable(RoutingConfigPtr config);

    /// The route of the host with the longest prefix that begins the path; null when there is none.
    const Route *find(std::string_view host, std::string_view path) const;
    const RoutingConfigPtr &config() const { return this->shared; }

private:
    RoutingConfigPtr shared;
    /// The routes of a host, the longest prefix first.
    std::unordered_map<std::string_view, std::vector<const Route *>> hosts;
};

} // namespace lagoondeck
