#pragma once

#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace lagoondeck {

/// Makes one HTTP call over a new connection and returns the reply's body. Fails with CallFailed,
/// also when the status is not 2xx.
boost::leaf::result<std::string> callHttp(const std::string &address, const std::string &method,
                                          const std::string &path, const std::string &body,
                                          Duration timeout);

} // namespace lagoondeck
