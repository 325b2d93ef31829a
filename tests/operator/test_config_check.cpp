#include "operator/config_check.h"
#include "operator/config_difference.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

Route route(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "h";
    route.prefix = prefix;
    route.idempotent = true;
    route.attempts = 2;
    route.split = {{GroupName("g"), 1.0}};
    return route;
}

ClientAccount account(const std::string &name, std::vector<std::string> keys)
{
    ClientAccount account;
    account.name = name;
    account.keys = std::move(keys);
    return account;
}

/// A configuration without faults.
RoutingConfig goodConfig()
{
    RoutingConfig config;
    config.version = 4;
    config.routes = {route("a", "/a/"), route("b", "/b/")};
    Route gather = route("c", "/c/");
    gather.split.clear();
    gather.gather = {GroupName("g"), GroupName("s")};
    gather.minimumCoverage = 0.5;
    config.routes.push_back(gather);
    config.connectionCaps = {{GroupName("g"), 3}, {GroupName("s"), 3}};
    config.accounts = {account("x", {"secret-1", "secret-2"}), account("y", {"secret-3"})};
    config.accounts[0].requestsPerSecond = 2.0;
    config.accounts[0].burst = 5.0;
    return config;
}

/// Returns the findings of a configuration; checks that none shows a key.
std::vector<ConfigFinding> findingsOf(const RoutingConfig &config)
{
    std::vector<ConfigFinding> findings = checkConfig(config);
    for (const ConfigFinding &finding : findings) {
        CHECK((finding.subject + finding.detail).find("secret") == std::string::npos);
    }
    return findings;
}

void checkOnly(const RoutingConfig &config, ConfigFindingKind kind, const std::string &subject)
{
    const std::vector<ConfigFinding> findings = findingsOf(config);
    INFO(toString(kind));
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == kind);
    CHECK(findings[0].subject == subject);
}

} // namespace

TEST_CASE("a configuration without faults has no findings")
{
    CHECK(findingsOf(goodConfig()).empty());
    CHECK(findingsOf(RoutingConfig {}).empty());
}

TEST_CASE("a route behind one with the same host and prefix is found, others are not")
{
    RoutingConfig config = goodConfig();
    config.routes[1].prefix = "/a/";
    checkOnly(config, ConfigFindingKind::ShadowedRoute, "route b");
    config.routes[1].host = "other";
    CHECK(findingsOf(config).empty());
    // A shorter prefix is used for the paths that the longer one does not match.
    config.routes[1].host = "h";
    config.routes[1].prefix = "/";
    CHECK(findingsOf(config).empty());
    config.routes[1].name = "a";
    checkOnly(config, ConfigFindingKind::RepeatedRouteName, "route a");
}

TEST_CASE("groups that get no request or are not described are found")
{
    RoutingConfig config = goodConfig();
    config.routes[0].split.push_back({GroupName("s"), 0.0});
    checkOnly(config, ConfigFindingKind::GroupWithoutWeight, "route a");
    config = goodConfig();
    config.routes[2].gather.emplace_back("t");
    checkOnly(config, ConfigFindingKind::UnknownGroup, "route c");
}

TEST_CASE("limits of a route that contradict each other are found")
{
    RoutingConfig config = goodConfig();
    config.routes[0].timeout = 100ms;
    config.routes[0].objective = 100ms;
    CHECK(findingsOf(config).empty());
    config.routes[0].objective = 101ms;
    checkOnly(config, ConfigFindingKind::ObjectiveAboveTimeout, "route a");
    config = goodConfig();
    config.routes[0].idempotent = false;
    checkOnly(config, ConfigFindingKind::RepeatedAttempts, "route a");
    config.routes[0].attempts = 1;
    CHECK(findingsOf(config).empty());
    config.routes[2].minimumCoverage = 0.0;
    checkOnly(config, ConfigFindingKind::CoverageWithoutEffect, "route c");
    config = goodConfig();
    config.routes[0].minimumCoverage = 0.5;
    checkOnly(config, ConfigFindingKind::CoverageWithoutEffect, "route a");
}

// Guards against a finding for what is no fault: less urgent routes may wait for less long.
TEST_CASE("a timeout below the objective of a more urgent route is no fault")
{
    RoutingConfig config = goodConfig();
    config.routes[0].priority = 0;
    config.routes[0].timeout = 2s;
    config.routes[0].objective = 1s;
    config.routes[1].priority = 5;
    config.routes[1].timeout = 300ms;
    config.routes[1].objective = 300ms;
    CHECK(findingsOf(config).empty());
}

TEST_CASE("accounts to which no request can belong, and limits without effect, are found")
{
    RoutingConfig config = goodConfig();
    config.accounts[1].keys.clear();
    checkOnly(config, ConfigFindingKind::AccountWithoutKeys, "account y");
    config = goodConfig();
    config.accounts[1].burst = 3.0;
    checkOnly(config, ConfigFindingKind::BurstWithoutRate, "account y");
    config = goodConfig();
    config.accounts[1].name = "x";
    checkOnly(config, ConfigFindingKind::RepeatedAccount, "account x");
    config = goodConfig();
    config.routes[0].allowedRegions = {Region("e"), Region("n")};
    config.accounts[1].allowedRegions = {Region("w"), Region("n")};
    CHECK(findingsOf(config).empty());
    config.accounts[1].allowedRegions = {Region("w")};
    checkOnly(config, ConfigFindingKind::DisjointRegions, "account y");
}

TEST_CASE("keys that are accepted for nobody are found, and not shown")
{
    RoutingConfig config = goodConfig();
    config.accounts[1].keys.emplace_back("secret-2");
    checkOnly(config, ConfigFindingKind::SharedKey, "account y");
    config = goodConfig();
    config.accounts[0].keys.emplace_back("secret-1");
    CHECK(findingsOf(config).empty());
    for (const char *unusable : {"", " secret", "secret ", "sec\nret"}) {
        config = goodConfig();
        config.accounts[0].keys.emplace_back(unusable);
        checkOnly(config, ConfigFindingKind::UnusableKey, "account x");
    }
}

TEST_CASE("equal configurations have no differences")
{
    CHECK(compareConfigs(goodConfig(), goodConfig()).empty());
    CHECK(compareConfigs({}, {}).empty());
}

TEST_CASE("routes, accounts, groups and limits are compared; keys are only counted")
{
    RoutingConfig config = goodConfig();
    config.routes.erase(config.routes.begin() + 1);
    config.routes.push_back(route("d", "/d/"));
    config.routes[0].timeout = 250ms;
    config.routes[0].isPublic = true;
    config.accounts[0].keys = {"secret-2", "secret-4", "secret-5"};
    config.accounts[0].priority = 3;
    config.accounts.push_back(account("z", {"secret-9"}));
    config.connectionCaps[GroupName("g")] = 9;
    config.coldLimits[GroupName("g")] = {2s, 7.0};
    config.limits.bodyBytes = 17;
    const std::vector<ConfigDifference> differences = compareConfigs(goodConfig(), config);
    const std::vector<ConfigDifference> expected {
            {DifferenceKind::Removed, "route b", ""},
            {DifferenceKind::Changed, "route a", "timeout 1000 ms to 250 ms; public no to yes"},
            {DifferenceKind::Added, "route d", ""},
            {DifferenceKind::Changed, "account x",
             "priority none to 3; keys added: 2; keys removed: 1"},
            {DifferenceKind::Added, "account z", ""},
            {DifferenceKind::Changed, "group g", "connection cap 3 to 9"},
            {DifferenceKind::Added, "cold limit of group g", ""},
            {DifferenceKind::Changed, "callers' limits",
             "body bytes " + std::to_string(CallerLimits {}.bodyBytes) + " to 17"}};
    CHECK(differences == expected);
}

TEST_CASE("a version that is not above the one in force is found")
{
    RoutingConfig newer = goodConfig();
    newer.version = 5;
    CHECK_FALSE(checkVersion(goodConfig(), newer));
    CHECK(checkVersion(goodConfig(), goodConfig()));
    const auto finding = checkVersion(newer, goodConfig());
    REQUIRE(finding);
    CHECK(finding->kind == ConfigFindingKind::VersionNotNewer);
    CHECK(finding->subject == "version 4");
}
