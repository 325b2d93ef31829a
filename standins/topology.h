#pragma once

#include "core/instance_list.h"
#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoondeck {

/// One service of stand-in targets: groups of replicas, one group for each shard.
struct ServiceTopology
{
    std::string name;
    std::uint32_t groups = 1;
    std::uint32_t serversPerGroup = 1;
    /// Shards of the first index version; fewer than groups leaves groups for a repartitioning.
    std::uint32_t shards = 0;
    std::uint32_t slots = 1;
    std::uint32_t connectionCap = 1;
    /// Sub-requests that wait for a slot; further ones are shed.
    std::uint32_t queueLimit = 4;
    /// What a new connection costs before its first request is read.
    Duration connectCost {};
    Duration meanService = std::chrono::milliseconds(20);
    /// Spread of the log-normal service time.
    double serviceSigma = 0.4;
    /// This part of the sub-requests takes tailFactor times as long.
    double tailProbability = 0.0;
    double tailFactor = 5.0;
    /// A target that came back is slower for this long.
    Duration coldTime = std::chrono::seconds(1);
    std::uint32_t hitsPerShard = 1;
    /// The first target's port; the others follow. 0 takes free ports.
    std::uint32_t basePort = 0;
    /// The first index version.
    std::uint64_t version = 1;
};

/// What the stand-ins are told by a file.
struct Topology
{
    std::uint64_t seed = 1;
    /// Where the targets' stand-in is controlled.
    std::string controlAddress = "127.0.0.1:0";
    std::vector<std::string> failureDomains {"domain-a"};
    std::vector<ServiceTopology> services;
};

/// Reads a topology in JSON with comments. Fails with MalformedInput or InvalidInput.
boost::leaf::result<Topology> parseTopology(std::string_view text);

/// Reads a topology file. Fails with FileUnreadable, MalformedInput or InvalidInput.
boost::leaf::result<Topology> readTopologyFile(const std::string &path);

/// The targets of a topology, as the instance list names them: "fit-03-b" is the second server of
/// shard 3.
std::vector<TargetInstance> listTargets(const Topology &topology);

/// How many documents a shard holds in a version; all replicas, and whoever checks them, agree.
std::uint64_t documentsOf(const std::string &service, std::uint32_t shard, std::uint64_t version);

} // namespace lagoondeck
