#pragma once

#include "operator/command_line.h"

#include <boost/leaf/result.hpp>
#include <iosfwd>

namespace lagoondeck {

/// Runs `check-config`: writes what is wrong with a configuration, and what it changes in the one
/// in force. No key is written. Fails with the errors that runCommand handles, with FaultyConfig if
/// something is wrong.
boost::leaf::result<void> checkConfigFile(const CommandLine &line, std::ostream &out);

} // namespace lagoondeck
