#pragma once

#include "core/instance_list.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Parses the platform's instance list. Fails with MalformedInput or InvalidInput.
boost::leaf::result<InstanceList> parseInstanceList(std::string_view text);

/// Writes an instance list in the platform's format.
std::string writeInstanceList(const InstanceList &list);

} // namespace lagoondeck
