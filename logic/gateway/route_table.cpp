#include "logic/gateway/route_table.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

RouteTable::RouteTable(RoutingConfigPtr config) : routingConfig(std::move(config))
{
    for (const Route &route : this->routingConfig->routes) {
        this->routesByHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : this->routesByHost) {
        std::ranges::stable_sort(routes, std::greater {},
                                 [](const Route *route) { return route->prefix.size(); });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(host);
    if (found == this->routesByHost.end()) {
        return nullptr;
    }
    const auto route = std::ranges::find_if(found->second, [&](const Route *candidate) {
        return path.starts_with(candidate->prefix);
    });
    return route == found->second.end() ? nullptr : *route;
}

} // namespace lagoondeck
