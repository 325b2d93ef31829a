#pragma once

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoondeck {

/// Appends a result to the JSON list in a file and creates the file when it does not exist. Fails
/// with MalformedInput when the file does not hold a JSON list, or with FileUnreadable.
boost::leaf::result<void> appendResult(const std::string &path, const nlohmann::json &result);

/// Writes the last result as one line, which the demo prints at its end.
std::string writeLine(const nlohmann::json &results);

/// Writes a table with the median and range of each column over the seeds, followed by a latency
/// histogram, for each combination of site, scenario and policy.
std::string writeReport(const nlohmann::json &results);

} // namespace lagoondeck
