#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// What lagoondeckctl was asked for.
struct CommandLine
{
    bool help = false;
    bool version = false;
    bool json = false;
    std::string storeAddress;
    std::string instanceListAddress;
    std::string author;
    std::optional<Revision> expectRevision;
    /// How long to wait for what was done to hold everywhere; empty does not wait.
    std::optional<Duration> wait;
    Duration timeout = std::chrono::seconds(1);
    /// How long a lost or refused change is followed up.
    Duration patience = std::chrono::seconds(10);
    /// How many changes the history shows.
    std::uint64_t limit = 20;
    /// The command and its operands, for example {"catalogue", "put", "entry.json"}.
    std::vector<std::string> words;
};

/// Reads the arguments without the program's name. Fails with UsageError, or like readSettingsFile.
boost::leaf::result<CommandLine> parseCommandLine(std::vector<std::string> arguments);

/// The text of --help.
const char *helpText();

} // namespace lagoondeck
