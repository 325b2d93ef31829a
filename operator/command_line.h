#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// The parsed command line of lagoondeckctl.
struct CommandLine
{
    bool help = false;
    bool version = false;
    bool json = false;
    std::string storeAddress;
    std::string instanceListAddress;
    std::string author;
    std::optional<Revision> expectRevision;
    /// How long to wait until the change is in force on every live instance, or the drained
    /// instance has stopped; empty means no wait.
    std::optional<Duration> wait;
    Duration timeout = std::chrono::seconds(1);
    /// How long a change without a reply is sent again.
    Duration retryTimeout = std::chrono::seconds(10);
    /// The number of changes that the history shows.
    std::uint64_t limit = 20;
    /// The configuration in force, with which check-config compares; empty if there is none.
    std::string against;
    /// The command and its operands, for example {"catalogue", "put", "entry.json"}.
    std::vector<std::string> positionalArguments;
};

/// Parses the arguments after the program's name. Fails with UsageError, or with the errors of
/// readSettingsFile.
boost::leaf::result<CommandLine> parseCommandLine(std::vector<std::string> arguments);

/// Returns the text of --help.
const char *helpText();

} // namespace lagoondeck
