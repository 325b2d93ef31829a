#include "operator/config_check.h"

#include "core/ids.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace lagoondeck {

namespace {

std::string routeSubject(const Route &route)
{
    return "route " + route.name;
}

std::string accountSubject(const ClientAccount &account)
{
    return "account " + account.name;
}

std::string formatMilliseconds(Duration duration)
{
    std::ostringstream text;
    text << toFractionalMilliseconds(duration) << " ms";
    return text.str();
}

/// Returns false if no request can carry the key: spaces at its ends are removed from the field,
/// and control characters can't be part of it.
bool isUsable(const std::string &key)
{
    return !key.empty() && key.front() != ' ' && key.back() != ' '
            && std::ranges::none_of(key, [](unsigned char c) { return std::iscntrl(c) != 0; });
}

void checkNames(const RoutingConfig &config, std::vector<ConfigFinding> &findings)
{
    std::map<std::pair<std::string, std::string>, const Route *> routeByPlace;
    std::set<std::string> names;
    for (const Route &route : config.routes) {
        const auto [first, isNew] = routeByPlace.try_emplace({route.host, route.prefix}, &route);
        if (!isNew) {
            findings.push_back({ConfigFindingKind::ShadowedRoute, routeSubject(route),
                                "never matches: route " + first->second->name
                                        + " has the same host and prefix and comes first"});
        }
        if (!names.insert(route.name).second) {
            findings.push_back({ConfigFindingKind::RepeatedRouteName, routeSubject(route),
                                "another route has the same name"});
        }
    }
}

void checkGroups(const Route &route, const RoutingConfig &config,
                 std::vector<ConfigFinding> &findings)
{
    std::set<std::string> groups;
    for (const WeightedGroup &part : route.split) {
        groups.insert(part.group.value);
        if (part.weight <= 0.0) {
            findings.push_back({ConfigFindingKind::GroupWithoutWeight, routeSubject(route),
                                "group " + part.group.value + " has weight 0 and gets no request"});
        }
    }
    for (const GroupName &group : route.gather) {
        groups.insert(group.value);
    }
    for (const std::string &group : groups) {
        if (!config.connectionCaps.contains(GroupName(group))) {
            findings.push_back({ConfigFindingKind::UnknownGroup, routeSubject(route),
                                "no service entry describes group " + group});
        }
    }
}

void checkLimits(const Route &route, std::vector<ConfigFinding> &findings)
{
    if (route.objective > route.timeout) {
        findings.push_back({ConfigFindingKind::ObjectiveAboveTimeout, routeSubject(route),
                            "the objective of " + formatMilliseconds(route.objective)
                                    + " is above the timeout of "
                                    + formatMilliseconds(route.timeout)});
    }
    if (!route.idempotent && route.attempts > 1) {
        findings.push_back({ConfigFindingKind::RepeatedAttempts, routeSubject(route),
                            std::to_string(route.attempts)
                                    + " attempts, but its requests may run only once: further ones "
                                      "follow only if the first certainly did not run"});
    }
    if (route.gathers() && route.minimumCoverage <= 0.0) {
        findings.push_back({ConfigFindingKind::CoverageWithoutEffect, routeSubject(route),
                            "an answer without any group meets the minimum coverage of 0"});
    } else if (!route.gathers() && route.minimumCoverage != 1.0) {
        findings.push_back({ConfigFindingKind::CoverageWithoutEffect, routeSubject(route),
                            "a minimum coverage has no effect on a route that gathers nothing"});
    }
}

void checkKeys(const RoutingConfig &config, std::vector<ConfigFinding> &findings)
{
    std::unordered_map<std::string, const ClientAccount *> accountByKey;
    for (const ClientAccount &account : config.accounts) {
        std::set<std::string> sharingAccounts;
        for (const std::string &key : account.keys) {
            const auto [first, isNew] = accountByKey.try_emplace(key, &account);
            if (!isNew && first->second != &account) {
                sharingAccounts.insert(first->second->name);
            }
        }
        for (const std::string &other : sharingAccounts) {
            findings.push_back({ConfigFindingKind::SharedKey, accountSubject(account),
                                "has a key that account " + other
                                        + " lists, too; it is accepted for neither"});
        }
        const auto unusable = std::ranges::count_if(
                account.keys, [](const std::string &key) { return !isUsable(key); });
        if (unusable > 0) {
            findings.push_back({ConfigFindingKind::UnusableKey, accountSubject(account),
                                std::to_string(unusable)
                                        + " keys are empty, or begin or end with a space, or "
                                          "contain control characters"});
        }
    }
}

void checkAccounts(const RoutingConfig &config, std::vector<ConfigFinding> &findings)
{
    std::set<std::string> names;
    for (const ClientAccount &account : config.accounts) {
        if (!names.insert(account.name).second) {
            findings.push_back({ConfigFindingKind::RepeatedAccount, accountSubject(account),
                                "another account has the same name"});
        }
        if (account.keys.empty()) {
            findings.push_back({ConfigFindingKind::AccountWithoutKeys, accountSubject(account),
                                "has no keys, so no request can belong to it"});
        }
        if (account.burst > 0.0 && !account.isCapped()) {
            findings.push_back({ConfigFindingKind::BurstWithoutRate, accountSubject(account),
                                "has a burst but no rate, so nothing is limited"});
        }
        for (const Route &route : config.routes) {
            const bool isShared =
                    std::ranges::any_of(route.allowedRegions, [&](const Region &each) {
                        return std::ranges::find(account.allowedRegions, each)
                                != account.allowedRegions.end();
                    });
            if (!isShared && !route.allowedRegions.empty() && !account.allowedRegions.empty()) {
                findings.push_back({ConfigFindingKind::DisjointRegions, accountSubject(account),
                                    "has no allowed region in common with route " + route.name});
            }
        }
    }
}

} // namespace

std::string_view toString(ConfigFindingKind kind)
{
    switch (kind) {
    case ConfigFindingKind::ShadowedRoute:
        return "shadowed-route";
    case ConfigFindingKind::RepeatedRouteName:
        return "repeated-route-name";
    case ConfigFindingKind::GroupWithoutWeight:
        return "group-without-weight";
    case ConfigFindingKind::UnknownGroup:
        return "unknown-group";
    case ConfigFindingKind::SharedKey:
        return "shared-key";
    case ConfigFindingKind::UnusableKey:
        return "unusable-key";
    case ConfigFindingKind::AccountWithoutKeys:
        return "account-without-keys";
    case ConfigFindingKind::RepeatedAccount:
        return "repeated-account";
    case ConfigFindingKind::DisjointRegions:
        return "disjoint-regions";
    case ConfigFindingKind::ObjectiveAboveTimeout:
        return "objective-above-timeout";
    case ConfigFindingKind::RepeatedAttempts:
        return "repeated-attempts";
    case ConfigFindingKind::CoverageWithoutEffect:
        return "coverage-without-effect";
    case ConfigFindingKind::BurstWithoutRate:
        return "burst-without-rate";
    case ConfigFindingKind::VersionNotNewer:
        return "version-not-newer";
    }
    return "unknown";
}

std::vector<ConfigFinding> checkConfig(const RoutingConfig &config)
{
    std::vector<ConfigFinding> findings;
    checkNames(config, findings);
    for (const Route &route : config.routes) {
        checkGroups(route, config, findings);
        checkLimits(route, findings);
    }
    checkAccounts(config, findings);
    checkKeys(config, findings);
    return findings;
}

} // namespace lagoondeck
