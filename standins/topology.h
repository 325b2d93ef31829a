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
    /// Shards of the first index version; fewer than groups leaves spare groups for repartitioning.
    std::uint32_t shards = 0;
    std::uint32_t slots = 1;
    std::uint32_t connectionCap = 1;
    /// Maximum number of sub-requests that wait for a slot; further ones are shed.
    std::uint32_t queueLimit = 4;
    /// Simulated set-up time of a new connection before its first request is read.
    Duration connectCost {};
    Duration meanService = std::chrono::milliseconds(20);
    /// Sigma of the log-normal service time.
    double serviceSigma = 0.4;
    /// Probability that a sub-request takes tailFactor times as long.
    double tailProbability = 0.0;
    double tailFactor = 5.0;
    /// A restarted target is slower for this time.
    Duration coldTime = std::chrono::seconds(1);
    std::uint32_t hitsPerShard = 1;
    /// Port of the first target; the others use the following ports. 0 selects free ports.
    std::uint32_t basePort = 0;
    /// The first index version.
    std::uint64_t version = 1;
};

/// The configuration of the stand-ins, read from a file.
struct Topology
{
    std::uint64_t seed = 1;
    /// Address of the control port of the stand-in targets.
    std::string controlAddress = "127.0.0.1:0";
    std::vector<std::string> failureDomains {"domain-a"};
    std::vector<ServiceTopology> services;
};

/// Reads a topology in JSON with comments. Fails with MalformedInput or InvalidInput.
boost::leaf::result<Topology> parseTopology(std::string_view text);

/// Reads a topology file. Fails with FileUnreadable, MalformedInput or InvalidInput.
boost::leaf::result<Topology> readTopologyFile(const std::string &path);

/// Returns the targets of a topology as they appear in the instance list: "fit-03-b" is the second
/// server of group 3.
std::vector<TargetInstance> listTargets(const Topology &topology);

/// Returns the number of documents of a shard in an index version. All replicas report it, and the
/// load generator checks answers against it.
std::uint64_t documentsOf(const std::string &service, std::uint32_t shard, std::uint64_t version);

} // namespace lagoondeck
