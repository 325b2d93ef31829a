#pragma once

#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace lagoondeck {

/// One HTTP call over a connection of its own; returns the reply's body. Fails with CallFailed,
/// also when the status is not 2xx.
boost::leaf::result<std::string> callHttp(const std::string &address, const std::string &method,
                                          const std::string &path, const std::string &body,
                                          Duration timeout);

} // namespace lagoondeck
