#include "bench/arrival.h"
#include "bench/balancer.h"
#include "bench/goodput.h"
#include "bench/load_plan.h"
#include "bench/load_result.h"
#include "bench/load_runner.h"
#include "bench/result_file.h"
#include "bench/target_observations.h"
#include "core/errors.h"
#include "core/json_input.h"
#include "core/os/program.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

constexpr int exitCheckFailed = 1;
constexpr int exitUsage = 2;
constexpr int exitUnreachable = 3;

constexpr const char *usage = R"(Usage: lagoondeck-load run PLAN [OPTION]...
       lagoondeck-load report|line RESULTS
Sends queries at the times of a plan, checks every answer, and compares the answers with the
records of the stand-in targets.

  -e, --entries IP:PORT,...  entry instances to send to
  -i, --instances IP:PORT    read the entry instances from this instance list instead
  -t, --targets IP:PORT      control address of the stand-in targets
  -s, --seed N               overrides the plan's seed
  -l, --label NAME=VALUE     add a field to the result; may be given several times
  -o, --output FILE          append the result to the JSON list in this file
      --timeline FILE        write rates over time for plots
      --distribution FILE    write the latency distribution for plots
  -h, --help                 show this text
  -V, --version              show the version

Exit codes: 0 done, 1 a request was lost or ran twice, or an answer was wrong, 2 invalid options or
plan, 3 a stand-in or all entry instances could not be reached.
)";

struct Options
{
    std::vector<std::string> positionalArguments;
    std::vector<std::string> entries;
    std::string instances;
    std::string targets;
    std::string seed;
    std::vector<std::pair<std::string, std::string>> labels;
    std::string output;
    std::string timeline;
    std::string distribution;
};

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

void readLabel(const std::string &text, Options &options)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
        std::cerr << "lagoondeck-load: a label is NAME=VALUE\n";
        std::exit(exitUsage);
    }
    options.labels.emplace_back(text.substr(0, equals), text.substr(equals + 1));
}

Options readOptions(int argc, char **argv)
{
    enum { TimelineOption = 1000, DistributionOption };
    constexpr option longOptions[] = {
            {"entries", required_argument, nullptr, 'e'},
            {"instances", required_argument, nullptr, 'i'},
            {"targets", required_argument, nullptr, 't'},
            {"seed", required_argument, nullptr, 's'},
            {"label", required_argument, nullptr, 'l'},
            {"output", required_argument, nullptr, 'o'},
            {"timeline", required_argument, nullptr, TimelineOption},
            {"distribution", required_argument, nullptr, DistributionOption},
            {"help", no_argument, nullptr, 'h'},
            {"version", no_argument, nullptr, 'V'},
            {}};
    Options options;
    for (int found = 0;
         (found = getopt_long(argc, argv, "e:i:t:s:l:o:hV", longOptions, nullptr)) != -1;) {
        switch (found) {
        case 'e':
            options.entries = splitAtCommas(optarg);
            break;
        case 'i':
            options.instances = optarg;
            break;
        case 't':
            options.targets = optarg;
            break;
        case 's':
            options.seed = optarg;
            break;
        case 'l':
            readLabel(optarg, options);
            break;
        case 'o':
            options.output = optarg;
            break;
        case TimelineOption:
            options.timeline = optarg;
            break;
        case DistributionOption:
            options.distribution = optarg;
            break;
        case 'h':
            std::cout << usage;
            std::exit(0);
        case 'V':
            std::cout << "lagoondeck-load " << LAGOONDECK_VERSION << "\n";
            std::exit(0);
        default:
            std::cerr << usage;
            std::exit(exitUsage);
        }
    }
    options.positionalArguments.assign(argv + optind, argv + argc);
    return options;
}

/// Returns an identifier that keeps the request ids of different runs distinct.
std::string makeRunId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void writeFile(const std::string &path, const std::string &text)
{
    if (!path.empty()) {
        std::ofstream(path) << text;
    }
}

leaf::result<int> run(const Options &options)
{
    BOOST_LEAF_AUTO(plan, readLoadPlanFile(options.positionalArguments[1]));
    if (!options.seed.empty()) {
        plan.seed = std::strtoull(options.seed.c_str(), nullptr, 10);
    }
    const std::vector<Arrival> arrivals = drawArrivals(plan, makeRunId());
    std::vector<RequestRecord> records;
    {
        Balancer balancer(options.entries, options.instances, plan.connectionsPerInstance);
        if (!balancer.hasReady()) {
            return leaf::new_error(CallFailed {"entry instances", "none is ready", false});
        }
        records = LoadRunner(plan, arrivals, balancer).run();
    }
    BOOST_LEAF_AUTO(observations, fetchTargetObservations(options.targets));
    const LoadResult result = summarize(plan, arrivals, records, observations);
    nlohmann::json json = result.toJson();
    json["seed"] = plan.seed;
    for (const auto &[name, value] : options.labels) {
        json[name] = value;
    }
    std::cout << json.dump() << std::endl;
    writeFile(options.timeline, writeTimeline(plan, arrivals, records));
    writeFile(options.distribution, result.latencies().writeDistribution());
    if (!options.output.empty()) {
        BOOST_LEAF_CHECK(appendResult(options.output, json));
    }
    return result.isCorrect() ? 0 : exitCheckFailed;
}

leaf::result<int> report(const Options &options)
{
    BOOST_LEAF_AUTO(results, readJsonFile(options.positionalArguments[1]));
    std::cout << writeReport(results);
    return 0;
}

leaf::result<int> line(const Options &options)
{
    BOOST_LEAF_AUTO(results, readJsonFile(options.positionalArguments[1]));
    if (!results.is_array() || results.empty()) {
        return leaf::new_error(MalformedInput {"a list of results is expected", 0});
    }
    std::cout << writeLine(results) << "\n";
    return 0;
}

leaf::result<int> dispatch(const Options &options)
{
    if (options.positionalArguments.size() == 2 && options.positionalArguments[0] == "report") {
        return report(options);
    }
    if (options.positionalArguments.size() == 2 && options.positionalArguments[0] == "line") {
        return line(options);
    }
    const bool hasEntries = !options.entries.empty() || !options.instances.empty();
    if (options.positionalArguments.size() == 2 && options.positionalArguments[0] == "run"
        && hasEntries && !options.targets.empty()) {
        return run(options);
    }
    std::cerr << usage;
    return exitUsage;
}

int runLoadTool(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const Options options = readOptions(argc, argv);
    return leaf::try_handle_all(
            [&] { return dispatch(options); },
            [](const FileUnreadable &error) {
                std::cerr << "lagoondeck-load: " << error.path << ": cannot be read or written\n";
                return exitUsage;
            },
            [](const MalformedInput &error) {
                std::cerr << "lagoondeck-load: " << error.detail << "\n";
                return exitUsage;
            },
            [](const InvalidInput &error) {
                for (const FieldProblem &problem : error.problems) {
                    std::cerr << "lagoondeck-load: " << problem.path << ": "
                              << toString(problem.kind) << ": " << problem.detail << "\n";
                }
                return exitUsage;
            },
            [](const CallFailed &error) {
                std::cerr << "lagoondeck-load: " << error.address << ": " << error.detail << "\n";
                return exitUnreachable;
            },
            [] {
                std::cerr << "lagoondeck-load: failed\n";
                return exitUnreachable;
            });
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("lagoondeck-load", exitUnreachable, [&] { return runLoadTool(argc, argv); });
}
