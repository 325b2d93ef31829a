#include "core/gateway_settings_file.h"

#include "core/address.h"
#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr const char *gatewaySection = "gateway";
constexpr double maxRetryRatio = 10.0;
constexpr double maxRetrySlack = 1e6;
constexpr std::uint32_t maxLogLinesPerSecond = 1'000'000;
constexpr double maxProcessors = 1024.0;
constexpr double minProcessorSpeed = 0.001;
constexpr double maxLinkMbps = 1e6;
/// With less memory, the process has none left for connections.
constexpr std::uint64_t minMemoryMegabytes = 64;
constexpr std::uint64_t maxMemoryMegabytes = 1024 * 1024;
/// Files take 200 descriptors, and the connections to targets and members a quarter.
constexpr std::uint64_t minDescriptors = 320;
constexpr std::uint64_t maxDescriptors = 1024 * 1024;
constexpr std::uint64_t maxMessageLimit = 1024 * 1024 * 1024;
constexpr std::uint64_t maxInterimReplies = 1'000'000;
constexpr Duration maxRetryWindow = std::chrono::hours(1);
constexpr Duration minTimeBound = std::chrono::milliseconds(500);
constexpr Duration maxTimeBound = std::chrono::minutes(5);
constexpr Duration maxLease = std::chrono::minutes(10);

void readAddress(FieldReader &reader, const char *name, std::string &value)
{
    reader.read(name, value);
    if (!value.empty() && !parseAddress(value)) {
        reader.addProblem(
                name, FieldProblemKind::BadFormat,
                "expected an IP address and a port from 1 to 65535, for example 127.0.0.1:7101");
    }
}

/// Reads a number that is either in the range or, if it is unknown, 0. A fraction is cut off,
/// because the platform states the sizes of machines as it likes.
void readUnlessUnknown(FieldReader &reader, const char *name, std::uint64_t &value,
                       std::uint64_t lowest, std::uint64_t highest)
{
    double number = static_cast<double>(value);
    reader.read(name, number, 0.0, static_cast<double>(highest));
    value = static_cast<std::uint64_t>(number);
    if (number != 0.0 && value < lowest) {
        reader.addProblem(name, FieldProblemKind::OutOfRange,
                          "expected 0 or a number from " + std::to_string(lowest) + " to "
                                  + std::to_string(highest));
    }
}

void readMessageLimits(FieldReader &reader, MessageLimits &limits)
{
    const auto read = [&](const char *name, std::size_t &limit, std::uint64_t highest) {
        std::uint64_t value = limit;
        reader.read(name, value, 0, highest);
        limit = value;
    };
    read("maxRequestLineBytes", limits.requestLineBytes, maxMessageLimit);
    read("maxHeaderFields", limits.headerFields, maxMessageLimit);
    read("maxChunkOverheadBytes", limits.chunkOverheadBytes, maxMessageLimit);
    read("maxInterimReplies", limits.interimReplies, maxInterimReplies);
}

void readSeeds(FieldReader &reader, std::vector<std::string> &seeds)
{
    const nlohmann::json *list = reader.find("seeds");
    if (list == nullptr) {
        return;
    }
    if (!list->is_array()) {
        reader.addProblem("seeds", FieldProblemKind::WrongType, "expected a list of addresses");
        return;
    }
    for (const nlohmann::json &seed : *list) {
        if (!seed.is_string() || !parseAddress(seed.get<std::string>())) {
            reader.addProblem("seeds", FieldProblemKind::BadFormat,
                              "expected IP addresses with ports");
            return;
        }
        seeds.push_back(seed.get<std::string>());
    }
}

void readRegions(FieldReader &reader, std::map<FailureDomain, Region> &regions)
{
    const nlohmann::json *table = reader.find("regions");
    if (table == nullptr) {
        return;
    }
    if (!table->is_object()) {
        reader.addProblem("regions", FieldProblemKind::WrongType,
                          "expected a region for each failure domain");
        return;
    }
    for (const auto &[domain, region] : table->items()) {
        if (!region.is_string()) {
            reader.addProblem("regions", FieldProblemKind::WrongType, "expected names of regions");
            return;
        }
        regions.emplace(domain, region.get<std::string>());
    }
}

} // namespace

bool isGatewaySettings(const nlohmann::json &json)
{
    return json.is_object() && json.contains(gatewaySection);
}

leaf::result<GatewaySettings> gatewaySettingsFromJson(const nlohmann::json &json)
{
    GatewaySettings settings;
    std::vector<FieldProblem> problems;
    FieldReader rootReader(json, problems);
    rootReader.require({gatewaySection});
    if (const nlohmann::json *gatewayObject = rootReader.find(gatewaySection)) {
        FieldReader reader(*gatewayObject, problems, std::string(gatewaySection) + ".");
        reader.require({"id", "failureDomain", "callerAddress", "readyAddress", "controlAddress",
                        "peerAddress", "storeAddress"});
        reader.read("id", settings.id.value);
        reader.read("failureDomain", settings.failureDomain.value);
        readRegions(reader, settings.regions);
        readAddress(reader, "callerAddress", settings.callerAddress);
        readAddress(reader, "readyAddress", settings.readyAddress);
        readAddress(reader, "controlAddress", settings.controlAddress);
        readAddress(reader, "peerAddress", settings.peerAddress);
        readAddress(reader, "storeAddress", settings.storeAddress);
        readAddress(reader, "metricsAddress", settings.metricsAddress);
        readSeeds(reader, settings.seeds);
        reader.read("retryRatio", settings.retries.ratio, 0.0, maxRetryRatio);
        reader.read("retrySlack", settings.retries.slack, 0.0, maxRetrySlack);
        reader.readMilliseconds("retryWindowMs", settings.retries.window, Duration(1000),
                                maxRetryWindow);
        reader.readMilliseconds("stopGraceMs", settings.stopGrace, Duration(0), maxTimeBound);
        Duration drainBound = settings.maxReactionTime;
        Duration configBound = settings.maxReactionTime;
        reader.readMilliseconds("drainBoundMs", drainBound, minTimeBound, maxTimeBound);
        reader.readMilliseconds("configBoundMs", configBound, minTimeBound, maxTimeBound);
        settings.maxReactionTime = std::min(drainBound, configBound);
        reader.readMilliseconds("shortestLeaseMs", settings.minLease, Duration(0), maxLease);
        reader.read("logSampleOneIn", settings.logSampleOneIn, 0,
                    std::numeric_limits<std::uint64_t>::max());
        reader.read("logLinesPerSecond", settings.logLinesPerSecond, 0U, maxLogLinesPerSecond);
        reader.read("processorShare", settings.processorShare, 0.0, maxProcessors);
        reader.read("processorSpeed", settings.processorSpeed, minProcessorSpeed, maxProcessors);
        reader.read("linkMbps", settings.linkMbps, 0.0, maxLinkMbps);
        readUnlessUnknown(reader, "memoryMegabytes", settings.memoryMegabytes, minMemoryMegabytes,
                          maxMemoryMegabytes);
        readUnlessUnknown(reader, "maxDescriptors", settings.maxDescriptors, minDescriptors,
                          maxDescriptors);
        readMessageLimits(reader, settings.message);
        reader.read("firstStart", settings.firstStart);
        reader.read("seed", settings.seed, 0, std::numeric_limits<std::uint64_t>::max());
        reader.rejectUnknownFields();
    }
    rootReader.rejectUnknownFields();
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return settings;
}

leaf::result<GatewaySettings> readGatewaySettingsFile(const std::string &path)
{
    BOOST_LEAF_AUTO(json, readJsonFile(path));
    return gatewaySettingsFromJson(json);
}

} // namespace lagoondeck
