#include "operator/command_line.h"

#include "core/settings_file.h"
#include "operator/command_error.h"

#include <array>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <getopt.h>
#include <string_view>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint64_t defaultWaitSeconds = 11;
constexpr std::uint64_t longestSeconds = 3600;

enum Option {
    Help = 1,
    Version,
    Json,
    Store,
    Instances,
    SettingsPath,
    Author,
    ExpectRevision,
    Wait,
    TimeoutMs,
    PatienceMs,
    Limit,
};

constexpr auto options = std::to_array<option>({
        {"help", no_argument, nullptr, Help},
        {"version", no_argument, nullptr, Version},
        {"json", no_argument, nullptr, Json},
        {"store", required_argument, nullptr, Store},
        {"instances", required_argument, nullptr, Instances},
        {"settings", required_argument, nullptr, SettingsPath},
        {"author", required_argument, nullptr, Author},
        {"expect-revision", required_argument, nullptr, ExpectRevision},
        {"wait", optional_argument, nullptr, Wait},
        {"timeout-ms", required_argument, nullptr, TimeoutMs},
        {"patience-ms", required_argument, nullptr, PatienceMs},
        {"limit", required_argument, nullptr, Limit},
        {nullptr, 0, nullptr, 0},
});

std::optional<std::uint64_t> wholeNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = !text.empty() && error == std::errc() && rest == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

leaf::result<std::uint64_t> numberOf(const char *name, std::string_view text, std::uint64_t highest)
{
    const auto value = wholeNumber(text);
    if (!value || *value > highest) {
        return leaf::new_error(UsageError {std::string(name) + " takes a whole number up to "
                                           + std::to_string(highest)});
    }
    return *value;
}

leaf::result<Duration> millisecondsOf(const char *name, std::string_view text)
{
    BOOST_LEAF_AUTO(value, numberOf(name, text, longestSeconds * 1000));
    return Duration(std::chrono::milliseconds(value));
}

/// Takes the addresses that the command line has not set.
leaf::result<void> takeSettings(const std::string &path, CommandLine &line)
{
    BOOST_LEAF_AUTO(settings, readSettingsFile(path));
    if (line.storeAddress.empty()) {
        line.storeAddress = settings.storeAddress;
    }
    if (line.instanceListAddress.empty()) {
        line.instanceListAddress = settings.instanceListAddress;
    }
    return {};
}

/// The seconds after --wait may be a word of their own.
leaf::result<void> takeWait(CommandLine &line, const std::vector<char *> &words)
{
    std::uint64_t seconds = defaultWaitSeconds;
    if (optarg != nullptr) {
        BOOST_LEAF_ASSIGN(seconds, numberOf("--wait", optarg, longestSeconds));
    } else if (words[static_cast<std::size_t>(optind)] != nullptr
               && wholeNumber(words[static_cast<std::size_t>(optind)])) {
        BOOST_LEAF_ASSIGN(
                seconds,
                numberOf("--wait", words[static_cast<std::size_t>(optind)], longestSeconds));
        ++optind;
    }
    line.wait = std::chrono::seconds(seconds);
    return {};
}

leaf::result<void> takeOption(int chosen, CommandLine &line)
{
    switch (chosen) {
    case Help:
        line.help = true;
        return {};
    case Version:
        line.version = true;
        return {};
    case Json:
        line.json = true;
        return {};
    case Store:
        line.storeAddress = optarg;
        return {};
    case Instances:
        line.instanceListAddress = optarg;
        return {};
    case Author:
        line.author = optarg;
        return {};
    case ExpectRevision: {
        BOOST_LEAF_AUTO(revision, numberOf("--expect-revision", optarg, 999'999'999'999));
        line.expectRevision = Revision {revision};
        return {};
    }
    case TimeoutMs: {
        BOOST_LEAF_ASSIGN(line.timeout, millisecondsOf("--timeout-ms", optarg));
        return {};
    }
    case PatienceMs: {
        BOOST_LEAF_ASSIGN(line.patience, millisecondsOf("--patience-ms", optarg));
        return {};
    }
    case Limit: {
        BOOST_LEAF_ASSIGN(line.limit, numberOf("--limit", optarg, 1'000'000));
        return {};
    }
    default:
        return {};
    }
}

} // namespace

leaf::result<CommandLine> parseCommandLine(std::vector<std::string> arguments)
{
    std::string program = "lagoondeckctl";
    std::vector<char *> words {program.data()};
    for (std::string &argument : arguments) {
        words.push_back(argument.data());
    }
    words.push_back(nullptr);
    CommandLine line;
    std::string settingsPath;
    optind = 0;
    opterr = 0;
    const int count = static_cast<int>(words.size()) - 1;
    while (true) {
        const int before = std::max(optind, 1);
        const int chosen = getopt_long(count, words.data(), ":", options.data(), nullptr);
        if (chosen == -1) {
            break;
        }
        if (chosen == '?' || chosen == ':') {
            const int at = std::max(before, optind - 1);
            return leaf::new_error(
                    UsageError {std::string(chosen == ':' ? "no value for " : "no such option: ")
                                + words[static_cast<std::size_t>(at)]});
        }
        if (chosen == SettingsPath) {
            settingsPath = optarg;
        } else if (chosen == Wait) {
            BOOST_LEAF_CHECK(takeWait(line, words));
        } else {
            BOOST_LEAF_CHECK(takeOption(chosen, line));
        }
    }
    line.words.assign(words.begin() + optind, words.end() - 1);
    if (!settingsPath.empty()) {
        BOOST_LEAF_CHECK(takeSettings(settingsPath, line));
    }
    return line;
}

const char *helpText()
{
    return R"(Usage: lagoondeckctl [OPTIONS] COMMAND

Commands:
  catalogue list              the entries in force
  catalogue get NAME          one entry as JSON that `put` takes
  catalogue put FILE...       make or replace entries; all files take effect together; - reads stdin
  catalogue delete NAME...    delete entries
  catalogue history           the last changes
  status                      every entry instance, with latencies drawn per class
  drain INSTANCE              ask an entry instance for a graceful stop
  explain ID [FILE...]        one request's story from log lines; reads stdin without files

Options:
  --store ADDRESS             the key-value service, IP number and port
  --instances ADDRESS         the instance list, IP number and port
  --settings FILE             take both addresses from a settings file of lagoondeckd
  --json                      write JSON instead of tables
  --author NAME               who makes the change; $USER by default
  --expect-revision N         refuse when an entry of the change was changed after revision N
  --wait [SECONDS]            wait until it holds on every live instance; 11 s by default
  --limit N                   changes that the history shows; 20 by default
  --timeout-ms N              the longest a call may take; 1000 by default
  --patience-ms N             how long a lost change is followed up; 10000 by default
  --help, --version

Exit codes:
  0 done   1 internal   2 invalid input, nothing applied   3 conflict, nothing applied
  4 not found   5 service unavailable, nothing applied   6 uncertain: the change may be accepted
  7 accepted, not yet everywhere
)";
}

} // namespace lagoondeck
