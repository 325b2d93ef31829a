#include "bench/result_file.h"

#include "core/errors.h"
#include "core/json_input.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>
#include <vector>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::array columns {"sent",          "answered",     "notRun",         "failed",
                              "unknown",       "lost",         "doubled",        "mixedSnapshot",
                              "falseCoverage", "falseNotRun",  "p50Ms",          "p99Ms",
                              "p999Ms",        "refusalP99Ms", "targetsCrashed", "coverageMean",
                              "coverageMin",   "extraLoad",    "goodputRatio"};
constexpr int nameWidth = 34;
constexpr int columnWidth = 14;
constexpr int barWidth = 50;

using Group = std::vector<const nlohmann::json *>;

std::map<std::string, Group> groupResults(const nlohmann::json &results)
{
    std::map<std::string, Group> groups;
    for (const nlohmann::json &result : results) {
        const std::string name = result.value("site", std::string("-")) + " "
                + result.value("scenario", std::string("-")) + " "
                + result.value("policy", std::string("-"));
        groups[name].push_back(&result);
    }
    return groups;
}

std::vector<double> sortedValues(const Group &group, const char *column)
{
    std::vector<double> values;
    for (const nlohmann::json *result : group) {
        values.push_back(result->value(column, 0.0));
    }
    std::ranges::sort(values);
    return values;
}

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << std::setprecision(value >= 1000.0 ? 10 : 4) << value;
    return text.str();
}

/// Formats the median, with the range when the values differ.
std::string formatSpread(const std::vector<double> &values)
{
    const std::string median = formatNumber(values[values.size() / 2]);
    const std::string lowest = formatNumber(values.front());
    const std::string highest = formatNumber(values.back());
    return lowest == highest ? median : median + " (" + lowest + ".." + highest + ")";
}

std::string drawBars(const Group &group)
{
    std::map<double, std::uint64_t> bars;
    for (const nlohmann::json *result : group) {
        for (const nlohmann::json &bar : result->value("latencyBars", nlohmann::json::array())) {
            bars[bar.at("fromMs").get<double>()] += bar.at("count").get<std::uint64_t>();
        }
    }
    std::uint64_t highest = 1;
    for (const auto &[from, count] : bars) {
        highest = std::max(highest, count);
    }
    std::ostringstream text;
    for (const auto &[from, count] : bars) {
        const std::uint64_t length = std::max<std::uint64_t>(1, count * barWidth / highest);
        text << std::setw(10) << std::fixed << std::setprecision(1) << from << " ms "
             << std::string(length, '#') << ' ' << count << '\n';
    }
    return text.str();
}

} // namespace

leaf::result<void> appendResult(const std::string &path, const nlohmann::json &result)
{
    nlohmann::json results = nlohmann::json::array();
    if (std::filesystem::exists(path)) {
        BOOST_LEAF_ASSIGN(results, readJsonFile(path));
    }
    if (!results.is_array()) {
        return leaf::new_error(MalformedInput {"a list of results is expected", 0});
    }
    results.push_back(result);
    const std::string temporaryPath = path + ".new";
    std::ofstream(temporaryPath) << results.dump(1) << "\n";
    std::error_code failure;
    std::filesystem::rename(temporaryPath, path, failure);
    if (failure) {
        return leaf::new_error(FileUnreadable {path});
    }
    return {};
}

std::string writeLine(const nlohmann::json &results)
{
    constexpr std::array fields {std::pair("sent", "sent"),
                                 std::pair("answered", "answered"),
                                 std::pair("not-run", "notRun"),
                                 std::pair("failed", "failed"),
                                 std::pair("unknown", "unknown"),
                                 std::pair("lost", "lost"),
                                 std::pair("doubled", "doubled"),
                                 std::pair("mixed-snapshot", "mixedSnapshot"),
                                 std::pair("false-coverage", "falseCoverage"),
                                 std::pair("p50-ms", "p50Ms"),
                                 std::pair("p99-ms", "p99Ms"),
                                 std::pair("coverage", "coverageMean"),
                                 std::pair("extra-load", "extraLoad")};
    std::string line;
    for (const auto &[name, column] : fields) {
        line += line.empty() ? "" : " ";
        line += std::string(name) + " " + formatNumber(results.back().value(column, 0.0));
    }
    return line;
}

std::string writeReport(const nlohmann::json &results)
{
    std::ostringstream text;
    for (const auto &[name, group] : groupResults(results)) {
        text << name << " (" << group.size() << " runs)\n";
        for (const char *column : columns) {
            text << "  " << std::left << std::setw(columnWidth) << column << ' '
                 << formatSpread(sortedValues(group, column)) << '\n';
        }
        text << std::right << drawBars(group) << '\n';
    }
    return text.str();
}

} // namespace lagoondeck
