#pragma once

#include "core/client_account.h"
#include "core/ids.h"
#include "core/message_limits.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Names a group of replicas that hold the same data; a request needs one of them.
using GroupName = StrongId<struct GroupTag, std::string>;

/// A group that receives a share of a route's traffic, in proportion to its weight.
struct WeightedGroup
{
    GroupName group;
    double weight = 1.0;

    bool operator==(const WeightedGroup &) const = default;
};

/// A class of traffic: which requests belong to it, which groups serve them, and their time and
/// attempt limits.
struct Route
{
    std::string name;
    std::string host;
    /// The path prefix; begins and ends with a slash.
    std::string prefix;
    /// Whether a request may run more than once.
    bool idempotent = false;
    /// The longest time that a caller waits for its answer.
    Duration timeout = std::chrono::seconds(1);
    /// The latency objective: an answer within this time has its full value for the caller.
    Duration objective = std::chrono::milliseconds(500);
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// The number of targets that may run one request, for each group it needs.
    std::uint32_t attempts = 1;
    /// A request is served by one of these groups. Empty for a gathering route.
    std::vector<WeightedGroup> split;
    /// A request is served by all of these groups, and their records are merged.
    std::vector<GroupName> gather;
    /// The number of records that the merge keeps.
    std::uint32_t topK = 0;
    /// The minimum fraction of the gathered groups, 0 to 1, that an answer must contain.
    double minimumCoverage = 1.0;
    /// Whether callers need no key although the configuration has client accounts.
    bool isPublic = false;
    /// The regions whose targets may serve the requests. Empty if all may.
    std::vector<Region> allowedRegions;

    bool gathers() const { return !this->gather.empty(); }
};

/// Limits on the size of a caller's request and on the time to send it.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    /// The maximum time from the first byte of a request to its last one, the body included.
    Duration headerTimeout = std::chrono::seconds(3);
    /// The maximum time that a connection stays open without a request.
    Duration idleTimeout = std::chrono::seconds(15);
    /// Not part of the configuration; the settings of the instance give it.
    MessageLimits message;
};

/// What a target bears while it is cold, which it is for some time after its start.
struct ColdLimit
{
    Duration warmup {};
    /// The requests per second that the target takes from all instances together while it is cold.
    double requestsPerSecond = 0.0;
};

/// One version of the routing configuration. A request uses the version with which it was admitted
/// until it ends.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    /// The number of connections that each target of a group accepts from all instances together.
    std::unordered_map<GroupName, std::uint32_t> connectionCaps;
    /// The groups whose targets limit their requests while they are cold.
    std::unordered_map<GroupName, ColdLimit> coldLimits;
    /// Empty if callers need no keys.
    std::vector<ClientAccount> accounts;
    CallerLimits limits;
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

} // namespace lagoondeck
