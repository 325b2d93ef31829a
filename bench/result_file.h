#pragma once

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoondeck {

/// Adds one result to a file that holds a JSON list; makes the file when it is not there. Fails
/// with MalformedInput when the file holds something else, or with FileUnreadable.
boost::leaf::result<void> appendResult(const std::string &path, const nlohmann::json &result);

/// The last result in one line, as the demo ends with it.
std::string writeLine(const nlohmann::json &results);

/// A table of the medians over the seeds with their spread, one line for each site, scenario and
/// policy, and below it a histogram of each one's latencies.
std::string writeReport(const nlohmann::json &results);

} // namespace lagoondeck
