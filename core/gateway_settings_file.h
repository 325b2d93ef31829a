#pragma once

#include "core/gateway_settings.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Returns whether the settings are those of an instance that forwards HTTP requests by routes.
bool isGatewaySettings(const nlohmann::json &json);

/// Reads and checks the settings. Fails with InvalidInput, which lists every wrong one.
boost::leaf::result<GatewaySettings> gatewaySettingsFromJson(const nlohmann::json &json);

/// Reads a settings file. Fails with FileUnreadable, MalformedInput or InvalidInput.
boost::leaf::result<GatewaySettings> readGatewaySettingsFile(const std::string &path);

} // namespace lagoondeck
