#pragma once

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Parses JSON with comments. Fails with MalformedInput.
boost::leaf::result<nlohmann::json> parseJson(std::string_view text);

/// Parses JSON with comments that may contain secrets: the error does not quote the text. Fails
/// with MalformedInput.
boost::leaf::result<nlohmann::json> parseSecretJson(std::string_view text);

/// Reads a file in JSON with comments. An object with a duplicate name is refused, because one of
/// the two values would be lost. Fails with FileUnreadable or MalformedInput.
boost::leaf::result<nlohmann::json> readJsonFile(const std::string &path);

} // namespace lagoondeck
