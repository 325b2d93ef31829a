#pragma once

#include "operator/command_line.h"

#include <boost/leaf/result.hpp>
#include <iosfwd>

namespace lagoondeck {

/// Runs one command of lagoondeckctl and writes its output to the stream. Fails with the errors
/// that runCommand handles.
boost::leaf::result<void> runCommandLine(const CommandLine &line, std::ostream &out);

} // namespace lagoondeck
