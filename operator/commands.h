#pragma once

#include "operator/command_line.h"

#include <boost/leaf/result.hpp>
#include <iosfwd>

namespace lagoondeck {

/// Runs one command of lagoondeckctl and writes what it finds to the stream. Fails with the errors
/// that runCommand knows.
boost::leaf::result<void> runWords(const CommandLine &line, std::ostream &out);

} // namespace lagoondeck
