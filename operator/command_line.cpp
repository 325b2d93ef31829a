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
constexpr std::uint64_t maxSeconds = 3600;

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
    Against,
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
        {"against", required_argument, nullptr, Against},
        {nullptr, 0, nullptr, 0},
});

std::optional<std::uint64_t> parseWholeNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = !text.empty() && error == std::errc() && rest == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

leaf::result<std::uint64_t> parseNumber(const char *name, std::string_view text,
                                        std::uint64_t highest)
{
    const auto value = parseWholeNumber(text);
    if (!value || *value > highest) {
        return leaf::new_error(UsageError {std::string(name) + " takes a whole number up to "
                                           + std::to_string(highest)});
    }
    return *value;
}

leaf::result<Duration> parseMilliseconds(const char *name, std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseNumber(name, text, maxSeconds * 1000));
    return Duration(std::chrono::milliseconds(value));
}

/// Reads those addresses from the settings file that the command line has not set.
leaf::result<void> applySettingsFile(const std::string &path, CommandLine &line)
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

/// Parses --wait; its seconds may also be given as a separate argument, which getopt does not
/// support for optional values.
leaf::result<void> parseWait(CommandLine &line, const std::vector<char *> &argv)
{
    std::uint64_t seconds = defaultWaitSeconds;
    if (optarg != nullptr) {
        BOOST_LEAF_ASSIGN(seconds, parseNumber("--wait", optarg, maxSeconds));
    } else if (argv[static_cast<std::size_t>(optind)] != nullptr
               && parseWholeNumber(argv[static_cast<std::size_t>(optind)])) {
        BOOST_LEAF_ASSIGN(
                seconds, parseNumber("--wait", argv[static_cast<std::size_t>(optind)], maxSeconds));
        ++optind;
    }
    line.wait = std::chrono::seconds(seconds);
    return {};
}

leaf::result<void> applyOption(int selected, CommandLine &line)
{
    switch (selected) {
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
    case Against:
        line.against = optarg;
        return {};
    case ExpectRevision: {
        BOOST_LEAF_AUTO(revision, parseNumber("--expect-revision", optarg, 999'999'999'999));
        line.expectRevision = Revision {revision};
        return {};
    }
    case TimeoutMs: {
        BOOST_LEAF_ASSIGN(line.timeout, parseMilliseconds("--timeout-ms", optarg));
        return {};
    }
    case PatienceMs: {
        BOOST_LEAF_ASSIGN(line.retryTimeout, parseMilliseconds("--patience-ms", optarg));
        return {};
    }
    case Limit: {
        BOOST_LEAF_ASSIGN(line.limit, parseNumber("--limit", optarg, 1'000'000));
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
    std::vector<char *> argv {program.data()};
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    CommandLine line;
    std::string settingsPath;
    optind = 0;
    opterr = 0;
    const int count = static_cast<int>(argv.size()) - 1;
    while (true) {
        const int before = std::max(optind, 1);
        const int selected = getopt_long(count, argv.data(), ":", options.data(), nullptr);
        if (selected == -1) {
            break;
        }
        if (selected == '?' || selected == ':') {
            const int at = std::max(before, optind - 1);
            return leaf::new_error(
                    UsageError {std::string(selected == ':' ? "no value for " : "no such option: ")
                                + argv[static_cast<std::size_t>(at)]});
        }
        if (selected == SettingsPath) {
            settingsPath = optarg;
        } else if (selected == Wait) {
            BOOST_LEAF_CHECK(parseWait(line, argv));
        } else {
            BOOST_LEAF_CHECK(applyOption(selected, line));
        }
    }
    line.positionalArguments.assign(argv.begin() + optind, argv.end() - 1);
    if (!settingsPath.empty()) {
        BOOST_LEAF_CHECK(applySettingsFile(settingsPath, line));
    }
    return line;
}

const char *helpText()
{
    return R"(Usage: lagoondeckctl [OPTIONS] COMMAND

Commands:
  catalogue list              the entries in force
  catalogue get NAME          one entry as JSON, in the format that `put` reads
  catalogue put FILE...       create or replace entries; all files apply atomically; - reads stdin
  catalogue delete NAME...    delete entries
  catalogue history           the last changes
  status                      every entry instance, with a latency histogram per class
  drain INSTANCE              start a graceful stop of an entry instance
  check-config FILE           what is wrong with a configuration of routes; no key is printed
  explain ID [FILE...]        what happened to a request, from log lines; reads stdin without files

Options:
  --store ADDRESS             the key-value service, IP address and port
  --instances ADDRESS         the instance list, IP address and port
  --settings FILE             read both addresses from a settings file of lagoondeckd
  --json                      write JSON instead of tables
  --author NAME               the author of the change; $USER by default
  --expect-revision N         refuse when an entry of the change was changed after revision N
  --wait [SECONDS]            wait until a change is in force on every live instance, or a drained
                              instance has stopped; 11 s by default
  --against FILE              also print what the checked configuration changes in this one
  --limit N                   number of changes that the history shows; 20 by default
  --timeout-ms N              timeout of a single call; 1000 by default
  --patience-ms N             how long a change without a reply is retried; 10000 by default
  --help, --version

Exit codes:
  0 done   1 internal   2 invalid input, nothing applied   3 conflict, nothing applied
  4 not found   5 service unavailable, nothing applied   6 uncertain: the change may be accepted
  7 accepted, not yet in force on every instance
)";
}

} // namespace lagoondeck
