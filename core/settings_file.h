#pragma once

#include "core/settings.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Parses settings in JSON with comments. Fails with MalformedInput or InvalidInput.
boost::leaf::result<Settings> parseSettings(std::string_view text);

/// Reads a settings file. Fails with FileUnreadable, MalformedInput or InvalidInput.
boost::leaf::result<Settings> readSettingsFile(const std::string &path);

} // namespace lagoondeck
