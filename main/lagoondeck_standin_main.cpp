#include "core/errors.h"
#include "core/os/process_signals.h"
#include "core/os/program.h"
#include "standins/event_loop.h"
#include "standins/instance_service.h"
#include "standins/store_service.h"
#include "standins/target_fleet.h"
#include "standins/topology.h"

#include <Poco/Exception.h>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <string>

using namespace lagoondeck;

namespace {

constexpr int exitUsage = 2;
constexpr int exitCannotServe = 1;

constexpr const char *usage = R"(Usage: lagoondeck-standin targets|store|instances [OPTION]...
Simulates the platform's services in tests and measurements.

  targets     all targets of a topology, each on its own port
  store       a key-value service with a subset of etcd's API
  instances   the list of live and leaving instances

  -t, --topology FILE    services and targets, JSON with comments (targets, instances)
  -a, --address IP:PORT  address to serve on (store, instances); port 0 picks a free one
  -c, --control IP:PORT  address of the control API (targets, store)
  -p, --port-offset N    added to the ports of the topology's targets
  -s, --seed N           overrides the topology's seed
  -h, --help             show this text
  -V, --version          show the version

Exit codes: 0 stopped by a signal, 1 cannot serve, 2 invalid options or topology.
docs/STANDINS.md describes the control API.
)";

struct Options
{
    std::string kind;
    std::string topologyFile;
    std::string address = "127.0.0.1:0";
    std::string control;
    std::uint32_t portOffset = 0;
    std::optional<std::uint64_t> seed;
};

Options readOptions(int argc, char **argv)
{
    constexpr option longOptions[] = {{"topology", required_argument, nullptr, 't'},
                                      {"address", required_argument, nullptr, 'a'},
                                      {"control", required_argument, nullptr, 'c'},
                                      {"port-offset", required_argument, nullptr, 'p'},
                                      {"seed", required_argument, nullptr, 's'},
                                      {"help", no_argument, nullptr, 'h'},
                                      {"version", no_argument, nullptr, 'V'},
                                      {}};
    Options options;
    for (int found = 0;
         (found = getopt_long(argc, argv, "t:a:c:p:s:hV", longOptions, nullptr)) != -1;) {
        switch (found) {
        case 't':
            options.topologyFile = optarg;
            break;
        case 'a':
            options.address = optarg;
            break;
        case 'c':
            options.control = optarg;
            break;
        case 'p':
            options.portOffset = static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
            break;
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'h':
            std::cout << usage;
            std::exit(0);
        case 'V':
            std::cout << "lagoondeck-standin " << LAGOONDECK_VERSION << "\n";
            std::exit(0);
        default:
            std::cerr << usage;
            std::exit(exitUsage);
        }
    }
    options.kind = optind < argc ? argv[optind] : "";
    return options;
}

[[noreturn]] void exitWithUsageError(const std::string &message)
{
    std::cerr << "lagoondeck-standin: " << message << "\n";
    std::exit(exitUsage);
}

Topology readTopology(const std::string &path)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<Topology> { return readTopologyFile(path); },
            [&](const FileUnreadable &) -> Topology {
                exitWithUsageError(path + ": cannot be read");
            },
            [&](const MalformedInput &error) -> Topology {
                exitWithUsageError(path + ": " + error.detail);
            },
            [&](const InvalidInput &error) -> Topology {
                for (const FieldProblem &problem : error.problems) {
                    std::cerr << path << ": " << problem.path << ": " << toString(problem.kind)
                              << ": " << problem.detail << "\n";
                }
                std::exit(exitUsage);
            },
            [&]() -> Topology { exitWithUsageError(path + ": cannot be used"); });
}

Topology loadTopology(const Options &options)
{
    Topology topology = readTopology(options.topologyFile);
    topology.seed = options.seed.value_or(topology.seed);
    for (ServiceTopology &service : topology.services) {
        service.basePort += service.basePort == 0 ? 0 : options.portOffset;
    }
    return topology;
}

void runTargets(EventLoop &loop, const Options &options)
{
    Topology topology = loadTopology(options);
    if (!options.control.empty()) {
        topology.controlAddress = options.control;
    }
    TargetFleet fleet(loop, std::move(topology));
    fleet.start();
    std::cout << "control " << fleet.controlAddress() << std::endl;
    loop.run();
}

void runStore(EventLoop &loop, const Options &options)
{
    StoreService store(loop, options.address,
                       options.control.empty() ? "127.0.0.1:0" : options.control);
    store.start();
    std::cout << "serving " << store.boundAddress() << "\ncontrol " << store.controlAddress()
              << std::endl;
    loop.run();
}

void runInstances(EventLoop &loop, const Options &options)
{
    InstanceList list;
    if (!options.topologyFile.empty()) {
        list.targets = listTargets(loadTopology(options));
    }
    InstanceService instances(loop, options.address, std::move(list));
    instances.start();
    std::cout << "serving " << instances.boundAddress() << std::endl;
    loop.run();
}

int runStandin(int argc, char **argv)
{
    // Comes first, because a signal may arrive while the topology is read.
    ProcessSignals signals;
    const Options options = readOptions(argc, argv);
    EventLoop loop;
    loop.watch(signals.wakeSocket(), Poco::Net::PollSet::POLL_READ, [&](int) {
        signals.receive();
        if (signals.isStopRequested()) {
            loop.stop();
        }
    });
    try {
        if (options.kind == "targets") {
            runTargets(loop, options);
        } else if (options.kind == "store") {
            runStore(loop, options);
        } else if (options.kind == "instances") {
            runInstances(loop, options);
        } else {
            std::cerr << usage;
            return exitUsage;
        }
    } catch (const Poco::Exception &error) {
        std::cerr << "lagoondeck-standin: " << error.displayText() << "\n";
        return exitCannotServe;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("lagoondeck-standin", exitCannotServe,
                      [&] { return runStandin(argc, argv); });
}
