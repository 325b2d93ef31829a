#include "core/errors.h"
#include "core/settings_file.h"
#include "drivers/entry_node.h"
#include "drivers/peer_errors.h"
#include "platform/stop_signal.h"

#include <boost/leaf/handle_errors.hpp>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <random>
#include <string>

namespace leaf = boost::leaf;
using namespace lagoondeck;

namespace {

// Exit codes; docs/SETTINGS.md tells them.
constexpr int exitOk = 0;
constexpr int exitUsage = 1;
constexpr int exitSettings = 2;
constexpr int exitCannotServe = 3;
constexpr int exitInvariant = 4;

constexpr const char *usage = "Usage: lagoondeckd --settings FILE [--check]\n"
                              "Serves one entry instance.\n\n"
                              "  --settings FILE  settings in JSON with comments\n"
                              "  --check          checks the settings and exits\n"
                              "  --version        prints the version\n"
                              "  --help           prints this text\n";

struct Options
{
    std::string settingsFile;
    bool checkOnly = false;
};

/// Reads the command line. Empty when the process is to exit with the given code.
std::optional<Options> readOptions(int argc, char **argv, int &exitCode)
{
    static const option longOptions[] = {{"settings", required_argument, nullptr, 's'},
                                         {"check", no_argument, nullptr, 'c'},
                                         {"version", no_argument, nullptr, 'v'},
                                         {"help", no_argument, nullptr, 'h'},
                                         {nullptr, 0, nullptr, 0}};
    Options options;
    for (int c = 0; (c = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (c == 's') {
            options.settingsFile = optarg;
        } else if (c == 'c') {
            options.checkOnly = true;
        } else {
            exitCode = c == '?' ? exitUsage : exitOk;
            (c == '?' ? std::cerr : std::cout)
                    << (c == 'v' ? "lagoondeckd " LAGOONDECK_VERSION "\n" : usage);
            return std::nullopt;
        }
    }
    if (options.settingsFile.empty()) {
        std::cerr << usage;
        exitCode = exitUsage;
        return std::nullopt;
    }
    return options;
}

void startLog(const Settings &settings, const char *program)
{
    FLAGS_logtostderr = settings.logDirectory.empty();
    FLAGS_log_dir = settings.logDirectory;
    google::InitGoogleLogging(program);
}

leaf::result<int> serve(const Options &options, const char *program)
{
    BOOST_LEAF_AUTO(settings, readSettingsFile(options.settingsFile));
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": ok\n";
        return exitOk;
    }
    if (settings.seed == 0) {
        settings.seed = std::random_device {}();
    }
    startLog(settings, program);
    const StopSignal signal;
    EntryNode node(settings);
    BOOST_LEAF_AUTO(end, node.run([&signal] { return signal.received(); }));
    return end == RunEnd::Graceful ? exitOk : exitInvariant;
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = exitOk;
    const auto options = readOptions(argc, argv, exitCode);
    if (!options) {
        return exitCode;
    }
    return leaf::try_handle_all(
            [&] { return serve(*options, argv[0]); },
            [&](const InvalidInput &invalid) {
                for (const FieldProblem &problem : invalid.problems) {
                    std::cerr << options->settingsFile << ": " << problem.path << ": "
                              << toString(problem.kind) << ": " << problem.detail << "\n";
                }
                return exitSettings;
            },
            [&](const MalformedInput &malformed) {
                std::cerr << options->settingsFile << ": " << malformed.detail << "\n";
                return exitSettings;
            },
            [&](const FileUnreadable &file) {
                std::cerr << file.path << ": can't be read\n";
                return exitSettings;
            },
            [&](const CallFailed &failed) {
                std::cerr << failed.address << ": " << failed.detail << "\n";
                return exitCannotServe;
            },
            [&](const PeerBindFailed &failed) {
                std::cerr << failed.address << ": the peer port can't be bound\n";
                return exitCannotServe;
            },
            [&] {
                std::cerr << "lagoondeckd: can't serve\n";
                return exitCannotServe;
            });
}
