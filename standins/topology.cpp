#include "standins/topology.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <boost/leaf/error.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint32_t maxGroups = 1000;
constexpr std::uint32_t maxServers = 26;
constexpr std::uint32_t maxSlots = 10'000;
constexpr std::uint32_t maxPort = 65'535;
constexpr std::uint32_t maxHits = 1000;
constexpr double maxSigma = 3.0;
constexpr double maxFactor = 1000.0;
constexpr std::uint64_t minDocuments = 1000;
constexpr std::uint64_t documentSpread = 9000;

ServiceTopology readService(const nlohmann::json &json, std::vector<FieldProblem> &problems,
                            const std::string &prefix)
{
    ServiceTopology service;
    FieldReader reader(json, problems, prefix);
    reader.require({"name", "groups", "serversPerGroup", "slots", "connectionCap"});
    reader.read("name", service.name);
    reader.read("groups", service.groups, 1, maxGroups);
    reader.read("serversPerGroup", service.serversPerGroup, 1, maxServers);
    service.shards = service.groups;
    reader.read("shards", service.shards, 1, maxGroups);
    reader.read("slots", service.slots, 1, maxSlots);
    reader.read("connectionCap", service.connectionCap, 1, maxSlots);
    reader.read("queueLimit", service.queueLimit, 0, maxSlots);
    reader.readMilliseconds("connectMs", service.connectCost, Duration(0), std::chrono::seconds(1));
    reader.readMilliseconds("serviceMs", service.meanService, Duration(0), std::chrono::minutes(1));
    reader.read("serviceSigma", service.serviceSigma, 0.0, maxSigma);
    reader.read("tailProbability", service.tailProbability, 0.0, 1.0);
    reader.read("tailFactor", service.tailFactor, 1.0, maxFactor);
    reader.readMilliseconds("coldMs", service.coldTime, Duration(0), std::chrono::minutes(1));
    reader.read("hitsPerShard", service.hitsPerShard, 1, maxHits);
    reader.read("basePort", service.basePort, 0, maxPort);
    reader.read("version", service.version, 1, std::numeric_limits<std::uint64_t>::max());
    reader.rejectUnknownFields();
    if (service.shards > service.groups) {
        reader.addProblem("shards", FieldProblemKind::Conflict, "more shards than groups");
    }
    return service;
}

void readFailureDomains(FieldReader &reader, std::vector<std::string> &domains)
{
    const nlohmann::json *list = reader.find("failureDomains");
    if (list == nullptr) {
        return;
    }
    domains.clear();
    for (const nlohmann::json &domain : *list) {
        if (!domain.is_string()) {
            reader.addProblem("failureDomains", FieldProblemKind::WrongType,
                              "expected an array of strings");
            return;
        }
        domains.push_back(domain.get<std::string>());
    }
    if (domains.empty()) {
        reader.addProblem("failureDomains", FieldProblemKind::OutOfRange, "expected at least one");
    }
}

leaf::result<Topology> topologyFromJson(const nlohmann::json &json)
{
    Topology topology;
    std::vector<FieldProblem> problems;
    FieldReader reader(json, problems);
    reader.require({"services"});
    reader.read("seed", topology.seed, 0, std::numeric_limits<std::uint64_t>::max());
    reader.read("controlAddress", topology.controlAddress);
    readFailureDomains(reader, topology.failureDomains);
    if (const nlohmann::json *services = reader.find("services"); services != nullptr) {
        for (std::size_t i = 0; i < services->size() && services->is_array(); ++i) {
            const std::string prefix = "services[" + std::to_string(i) + "].";
            topology.services.push_back(readService((*services)[i], problems, prefix));
        }
    }
    reader.rejectUnknownFields();
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return topology;
}

std::string targetName(const std::string &service, std::uint32_t group, std::uint32_t server)
{
    const std::string number = std::to_string(group);
    return service + "-" + (group < 10 ? "0" : "") + number + "-" + static_cast<char>('a' + server);
}

} // namespace

leaf::result<Topology> parseTopology(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    return topologyFromJson(json);
}

leaf::result<Topology> readTopologyFile(const std::string &path)
{
    BOOST_LEAF_AUTO(json, readJsonFile(path));
    return topologyFromJson(json);
}

std::vector<TargetInstance> listTargets(const Topology &topology)
{
    std::vector<TargetInstance> targets;
    for (const ServiceTopology &service : topology.services) {
        std::uint32_t port = service.basePort;
        for (std::uint32_t group = 0; group < service.groups; ++group) {
            for (std::uint32_t server = 0; server < service.serversPerGroup; ++server) {
                TargetInstance target;
                target.id = TargetId(targetName(service.name, group, server));
                target.service = ServiceName(service.name);
                target.shard = ShardId(group);
                target.address = "127.0.0.1:" + std::to_string(port);
                target.failureDomain = FailureDomain(
                        topology.failureDomains[server % topology.failureDomains.size()]);
                target.slots = service.slots;
                target.connectionCap = service.connectionCap;
                targets.push_back(std::move(target));
                port += service.basePort == 0 ? 0 : 1;
            }
        }
    }
    return targets;
}

std::uint64_t documentsOf(const std::string &service, std::uint32_t shard, std::uint64_t version)
{
    const std::string key = service + "/" + std::to_string(shard) + "/" + std::to_string(version);
    return minDocuments + XXH3_64bits(key.data(), key.size()) % documentSpread;
}

} // namespace lagoondeck
