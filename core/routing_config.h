#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// Replicas that hold the same data; a request needs one of them.
using GroupName = StrongId<struct GroupTag, std::string>;

/// A part of a route's traffic that goes to one group.
struct WeightedGroup
{
    GroupName group;
    double weight = 1.0;

    bool operator==(const WeightedGroup &) const = default;
};

/// One class of traffic: which requests belong to it, where they go and what they may cost.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// It may run more than once.
    bool idempotent = false;
    /// The longest that a caller is kept waiting.
    Duration timeout = std::chrono::seconds(1);
    /// An answer within this time is of full use to its caller.
    Duration objective = std::chrono::milliseconds(500);
    /// 0 is the highest.
    std::uint32_t priority = 0;
    /// Targets that may run one request, for each group it needs.
    std::uint32_t attempts = 1;
    /// One of these groups serves a request; empty when the route gathers.
    std::vector<WeightedGroup> split;
    /// All of these groups serve a request, and their records are merged.
    std::vector<GroupName> gather;
    /// Records kept by the merge.
    std::uint32_t topK = 0;
    /// The part of the gathered groups, 0 to 1, below which there is no answer.
    double minimumCoverage = 1.0;

    bool gathers() const { return !this->gather.empty(); }
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the routing configuration. A request keeps the version it was admitted under.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    /// Connections that each target of a group accepts from all instances together.
    std::unordered_map<GroupName, std::uint32_t> connectionCaps;
    CallerLimits limits;
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

} // namespace lagoondeck
