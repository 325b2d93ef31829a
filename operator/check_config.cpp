#include "operator/check_config.h"

#include "core/errors.h"
#include "operator/command_error.h"
#include "operator/config_check.h"
#include "operator/config_difference.h"
#include "platform/store_value_codec.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Reads a configuration. The paths of its problems begin with that of the file.
leaf::result<RoutingConfigPtr> readConfigFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return leaf::new_error(FileUnreadable {path});
    }
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    // The errors are raised again outside of the handlers: a handler that raises an error of the
    // type that it handles loses it.
    std::optional<InvalidInput> invalid;
    std::optional<MalformedInput> malformed;
    auto config = leaf::try_handle_all(
            [&]() -> leaf::result<RoutingConfigPtr> { return wire::readConfig(text); },
            [&](const InvalidInput &input) {
                invalid = input;
                return RoutingConfigPtr();
            },
            [&](const MalformedInput &input) {
                malformed = input;
                return RoutingConfigPtr();
            },
            [&] {
                malformed = MalformedInput {"the text can't be read", 0};
                return RoutingConfigPtr();
            });
    if (invalid) {
        for (FieldProblem &problem : invalid->problems) {
            problem.path.insert(0, path + ": ");
        }
        return leaf::new_error(std::move(*invalid));
    }
    if (malformed) {
        return leaf::new_error(MalformedInput {path + ": " + malformed->detail, malformed->offset});
    }
    return config;
}

void writeText(const std::vector<ConfigFinding> &findings,
               const std::vector<ConfigDifference> &differences, std::ostream &out)
{
    for (const ConfigFinding &finding : findings) {
        out << toString(finding.kind) << ": " << finding.subject << ": " << finding.detail << "\n";
    }
    for (const ConfigDifference &difference : differences) {
        out << toString(difference.kind) << ": " << difference.subject
            << (difference.detail.empty() ? "" : ": ") << difference.detail << "\n";
    }
}

nlohmann::json toJson(const std::vector<ConfigFinding> &findings,
                      const std::vector<ConfigDifference> &differences)
{
    nlohmann::json json {{"findings", nlohmann::json::array()},
                         {"differences", nlohmann::json::array()}};
    for (const ConfigFinding &finding : findings) {
        json["findings"].push_back({{"kind", toString(finding.kind)},
                                    {"subject", finding.subject},
                                    {"detail", finding.detail}});
    }
    for (const ConfigDifference &difference : differences) {
        json["differences"].push_back({{"kind", toString(difference.kind)},
                                       {"subject", difference.subject},
                                       {"detail", difference.detail}});
    }
    return json;
}

} // namespace

leaf::result<void> checkConfigFile(const CommandLine &line, std::ostream &out)
{
    if (line.positionalArguments.size() != 2) {
        return leaf::new_error(UsageError {"check-config takes one file"});
    }
    BOOST_LEAF_AUTO(config, readConfigFile(line.positionalArguments[1]));
    std::vector<ConfigFinding> findings = checkConfig(*config);
    std::vector<ConfigDifference> differences;
    if (!line.against.empty()) {
        BOOST_LEAF_AUTO(inForce, readConfigFile(line.against));
        differences = compareConfigs(*inForce, *config);
        if (auto finding = checkVersion(*inForce, *config)) {
            findings.push_back(std::move(*finding));
        }
    }
    if (line.json) {
        out << toJson(findings, differences).dump(2) << "\n";
    } else {
        writeText(findings, differences, out);
    }
    if (!findings.empty()) {
        return leaf::new_error(FaultyConfig {findings.size()});
    }
    if (!line.json) {
        out << "version " << config->version << ": nothing wrong\n";
    }
    return {};
}

} // namespace lagoondeck
