#include "core/os/program.h"
#include "tests/support/fault_injector.h"
#include "tests/support/simulated_cell.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <string>

using namespace lagoondeck;

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 1;
constexpr int exitInvariantViolated = 4;
constexpr std::size_t maxViolationsShown = 10;

constexpr const char *usage =
        "Usage: lagoondeck-soak [--seed N] [--seconds S] [--runs R]\n"
        "Runs complete entry instances in a simulated cell with injected faults and checks "
        "invariants.\n\n"
        "  --seed N     the first run's seed, 1 by default; each further run adds 1\n"
        "  --seconds S  simulated seconds of load in each run, 60 by default\n"
        "  --runs R     number of runs, 1 by default\n"
        "  --version    prints the version\n"
        "  --help       prints this text\n";

struct Options
{
    std::uint64_t seed = 1;
    std::uint64_t seconds = 60;
    std::uint64_t runs = 1;
};

/// Reads the command line. Returns nothing when the process must exit with exitCode.
std::optional<Options> readOptions(int argc, char **argv, int &exitCode)
{
    static const option longOptions[] = {
            {"seed", required_argument, nullptr, 's'}, {"seconds", required_argument, nullptr, 't'},
            {"runs", required_argument, nullptr, 'r'}, {"version", no_argument, nullptr, 'v'},
            {"help", no_argument, nullptr, 'h'},       {nullptr, 0, nullptr, 0}};
    Options options;
    for (int c = 0; (c = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (c == 's') {
            options.seed = std::strtoull(optarg, nullptr, 10);
        } else if (c == 't') {
            options.seconds = std::strtoull(optarg, nullptr, 10);
        } else if (c == 'r') {
            options.runs = std::strtoull(optarg, nullptr, 10);
        } else {
            exitCode = c == '?' ? exitUsage : exitOk;
            (c == '?' ? std::cerr : std::cout)
                    << (c == 'v' ? "lagoondeck-soak " LAGOONDECK_VERSION "\n" : usage);
            return std::nullopt;
        }
    }
    return options;
}

void print(std::uint64_t seed, const SimulationCounts &counts)
{
    std::cout << "soak: seed " << seed << " sent " << counts.requests << " answered "
              << counts.answered << " not-run " << counts.notRun << " failed " << counts.failed
              << " unknown " << counts.unknown << " cut-by-crash " << counts.interruptedByCrash
              << " sub-requests " << counts.subRequests << " hedges " << counts.hedges << " runs "
              << counts.runs << " restarts " << counts.restarts << " events " << counts.events
              << "\n";
}

/// Runs one seed; returns false when an invariant was violated.
bool run(std::uint64_t seed, const Options &options)
{
    SimulatedCell simulation(seed);
    FaultInjector faultInjector(simulation);
    faultInjector.start();
    simulation.runFor(std::chrono::seconds(options.seconds));
    faultInjector.stop();
    simulation.finish();
    print(seed, simulation.counts());
    const std::size_t shown = std::min(simulation.violations().size(), maxViolationsShown);
    for (std::size_t i = 0; i < shown; ++i) {
        std::cout << "violated: " << simulation.violations()[i] << "\n";
    }
    if (!simulation.violations().empty()) {
        std::cout << "violations: " << simulation.violations().size() << "\n"
                  << "replay: lagoondeck-soak --seed " << seed << " --seconds " << options.seconds
                  << "\n";
    }
    return simulation.violations().empty();
}

int runSoak(int argc, char **argv)
{
    int exitCode = exitOk;
    const auto options = readOptions(argc, argv, exitCode);
    if (!options) {
        return exitCode;
    }
    for (std::uint64_t i = 0; i < options->runs; ++i) {
        if (!run(options->seed + i, *options)) {
            exitCode = exitInvariantViolated;
        }
    }
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("lagoondeck-soak", exitUsage, [&] { return runSoak(argc, argv); });
}
