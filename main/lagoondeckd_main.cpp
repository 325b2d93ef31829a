#include "core/errors.h"
#include "core/gateway_settings_file.h"
#include "core/json_input.h"
#include "core/os/heap.h"
#include "core/os/process_signals.h"
#include "core/os/program.h"
#include "core/settings_file.h"
#include "drivers/edge/gateway_node.h"
#include "drivers/entry_node.h"
#include "drivers/log_writer.h"
#include "drivers/peer_errors.h"

#include <boost/leaf/handle_errors.hpp>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>
#include <random>
#include <string>

namespace leaf = boost::leaf;
using namespace lagoondeck;

namespace {

// Exit codes, documented in docs/SETTINGS.md.
constexpr int exitOk = 0;
constexpr int exitUsage = 1;
constexpr int exitSettings = 2;
constexpr int exitCannotServe = 3;
constexpr int exitInvariantViolated = 4;

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

/// Reads the command line. Returns nothing when the process must exit with exitCode.
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

void startLog(const std::string &directory, const char *program)
{
    FLAGS_logtostderr = directory.empty();
    FLAGS_log_dir = directory;
    google::InitGoogleLogging(program);
}

/// Validates the settings file again, so that a malformed file is noticed before the next start.
void reloadGatewaySettings(const std::string &path)
{
    const bool readable = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(readGatewaySettingsFile(path));
                return true;
            },
            [] { return false; });
    writeLog({readable ? LogEvent::SettingsReloaded : LogEvent::SettingsRefused, {{"file", path}}});
}

leaf::result<int> serveGateway(const Options &options, const nlohmann::json &json,
                               const char *program, ProcessSignals &signals)
{
    BOOST_LEAF_AUTO(settings, gatewaySettingsFromJson(json));
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": ok\n";
        return exitOk;
    }
    if (settings.seed == 0) {
        settings.seed = std::random_device {}();
    }
    if (settings.memoryMegabytes > 0) {
        returnFreedBlocks();
    }
    startLog("", program);
    GatewayNode node(settings);
    BOOST_LEAF_CHECK(node.run(signals, [&] { reloadGatewaySettings(options.settingsFile); }));
    return exitOk;
}

leaf::result<int> serve(const Options &options, const char *program, ProcessSignals &signals)
{
    BOOST_LEAF_AUTO(json, readJsonFile(options.settingsFile));
    if (isGatewaySettings(json)) {
        return serveGateway(options, json, program, signals);
    }
    BOOST_LEAF_AUTO(settings, readSettingsFile(options.settingsFile));
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": ok\n";
        return exitOk;
    }
    if (settings.seed == 0) {
        settings.seed = std::random_device {}();
    }
    startLog(settings.logDirectory, program);
    EntryNode node(settings);
    BOOST_LEAF_AUTO(result, node.run([&signals] {
        signals.receive();
        return signals.isStopRequested();
    }));
    return result == RunResult::Graceful ? exitOk : exitInvariantViolated;
}

int runDaemon(int argc, char **argv)
{
    // Comes first, because a signal may arrive while the settings are read.
    ProcessSignals signals;
    int exitCode = exitOk;
    const auto options = readOptions(argc, argv, exitCode);
    if (!options) {
        return exitCode;
    }
    return leaf::try_handle_all(
            [&] { return serve(*options, argv[0], signals); },
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

} // namespace

int main(int argc, char **argv)
{
    return runProgram("lagoondeckd", exitCannotServe, [&] { return runDaemon(argc, argv); });
}
