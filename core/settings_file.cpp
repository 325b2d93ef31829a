#include "core/settings_file.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <boost/leaf/error.hpp>
#include <limits>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint64_t largestBody = 16 * 1024 * 1024;
constexpr std::uint32_t mostCallerThreads = 4096;
constexpr std::uint32_t mostInstances = 1000;
constexpr Duration shortestRetention = std::chrono::seconds(3);
constexpr Duration longestRetention = std::chrono::hours(24);
constexpr double mostClaimWrites = 10000.0;
constexpr Duration longestStop = std::chrono::minutes(5);

void readPolicy(FieldReader &reader, PolicyKind &policy)
{
    std::string name = "full";
    reader.read("policy", name);
    if (name != "full" && name != "baseline") {
        reader.note("policy", FieldProblemKind::OutOfRange, "expected full or baseline");
    }
    policy = name == "baseline" ? PolicyKind::Baseline : PolicyKind::Full;
}

leaf::result<Settings> settingsFromJson(const nlohmann::json &json)
{
    Settings settings;
    std::vector<FieldProblem> problems;
    FieldReader reader(json, problems);
    reader.require({"id", "httpAddress", "peerAddress", "storeAddress", "instanceListAddress"});
    reader.read("id", settings.id.value);
    reader.read("failureDomain", settings.failureDomain.value);
    reader.read("httpAddress", settings.httpAddress);
    reader.read("peerAddress", settings.peerAddress);
    reader.read("storeAddress", settings.storeAddress);
    reader.read("instanceListAddress", settings.instanceListAddress);
    reader.read("peerKey", settings.peerKey);
    readPolicy(reader, settings.policy);
    reader.read("seed", settings.seed, 0, std::numeric_limits<std::uint64_t>::max());
    reader.read("maximumBodyBytes", settings.maximumBodyBytes, 1, largestBody);
    reader.read("callerThreads", settings.callerThreads, 1, mostCallerThreads);
    reader.readMilliseconds("stopBoundMs", settings.stopBound, Duration(0), longestStop);
    reader.readMilliseconds("instanceListIntervalMs", settings.instanceListInterval,
                            std::chrono::milliseconds(10), std::chrono::minutes(1));
    reader.read("expectedInstances", settings.expectedInstances, 1, mostInstances);
    reader.readMilliseconds("claimRetentionMs", settings.claimRetention, shortestRetention,
                            longestRetention);
    reader.read("claimWritesPerSecond", settings.claimWritesPerSecond, 1.0, mostClaimWrites);
    reader.read("logDirectory", settings.logDirectory);
    reader.refuseUnknown();
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return settings;
}

} // namespace

leaf::result<Settings> parseSettings(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    return settingsFromJson(json);
}

leaf::result<Settings> readSettingsFile(const std::string &path)
{
    BOOST_LEAF_AUTO(json, readJsonFile(path));
    return settingsFromJson(json);
}

} // namespace lagoondeck
