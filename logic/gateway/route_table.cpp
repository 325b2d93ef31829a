#include "logic/gateway/route_table.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

RouteTable::RouteTable(RoutingConfigPtr config) : shared(std::move(config))
{
    for (const Route &route : this->shared->routes) {
        this->hosts[route.host].push_back(&route);
    }
    for (auto &[host, routes] : this->hosts) {
        std::ranges::stable_sort(routes, std::greater {},
                                 [](const Route *route) { return route->prefix.size(); });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = this->hosts.find(host);
    if (found == this->hosts.end()) {
        return nullptr;
    }
    const auto route = std::ranges::find_if(found->second, [&](const Route *candidate) {
        return path.starts_with(candidate->prefix);
    });
    return route == found->second.end() ? nullptr : *route;
}

} // namespace lagoondeck
