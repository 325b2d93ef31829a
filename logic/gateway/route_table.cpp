#include "logic/gateway/route_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lagoondeck {

namespace {

std::vector<GroupName> groupsOf(const Route &route)
{
    std::vector<GroupName> groups = route.gather;
    for (const WeightedGroup &part : route.split) {
        groups.push_back(part.group);
    }
    return groups;
}

} // namespace

RouteTable::RouteTable(RoutingConfigPtr config)
    : routingConfig(std::move(config)), accountDirectory(this->routingConfig->accounts)
{
    for (const Route &route : this->routingConfig->routes) {
        this->routesByHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : this->routesByHost) {
        std::ranges::stable_sort(routes, std::greater {},
                                 [](const Route *route) { return route->prefix.size(); });
    }
    this->rankByUrgency();
}

void RouteTable::rankByUrgency()
{
    // An account may send requests on any route.
    std::set<std::uint32_t> accountPriorities;
    for (const ClientAccount &account : this->routingConfig->accounts) {
        if (account.priority) {
            accountPriorities.insert(*account.priority);
        }
    }
    std::unordered_map<GroupName, std::set<std::uint32_t>> prioritiesByGroup;
    for (const Route &route : this->routingConfig->routes) {
        for (const GroupName &group : groupsOf(route)) {
            prioritiesByGroup[group].insert(route.priority);
            prioritiesByGroup[group].insert(accountPriorities.begin(), accountPriorities.end());
        }
    }
    for (const Route &route : this->routingConfig->routes) {
        std::set<std::uint32_t> possible = accountPriorities;
        possible.insert(route.priority);
        for (const std::uint32_t priority : possible) {
            std::uint32_t &rank = this->urgencyRanks[&route][priority];
            for (const GroupName &group : groupsOf(route)) {
                const std::set<std::uint32_t> &priorities = prioritiesByGroup[group];
                const auto moreUrgent =
                        std::distance(priorities.begin(), priorities.find(priority));
                rank = std::max(rank, static_cast<std::uint32_t>(moreUrgent));
            }
        }
    }
}

std::uint32_t RouteTable::urgencyRank(const Route &route, const ClientAccount *account) const
{
    const bool hasOwnPriority = account != nullptr && account->priority.has_value();
    return this->urgencyRanks.at(&route).at(hasOwnPriority ? *account->priority : route.priority);
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
