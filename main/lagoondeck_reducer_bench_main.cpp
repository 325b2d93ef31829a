#include "logic/context.h"
#include "logic/fanout/query_engine.h"
#include "logic/selection/target_table.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <new>
#include <utility>
#include <vector>

using namespace lagoondeck;

namespace {

std::atomic<std::uint64_t> allocations {0};

constexpr int exitOk = 0;
constexpr int exitUsage = 1;
constexpr std::uint32_t replicasPerShard = 3;
constexpr std::uint32_t queriesInFlight = 4;
/// Sub-requests in each measured run; a fixed number, so that runs with different shard counts take
/// about the same time.
constexpr std::uint64_t subRequestsPerRun = 400000;
constexpr std::uint64_t warmUpSubRequests = 40000;
constexpr std::uint32_t rounds = 5;

constexpr const char *usage =
        "Usage: lagoondeck-reducer-bench\n"
        "Measures the cost of a query in the logic on one core, by its number of shards.\n\n"
        "  --version  prints the version\n"
        "  --help     prints this text\n";

/// Runs a query engine with simulated targets that answer every sub-request.
class EngineLoop
{
public:
    explicit EngineLoop(std::uint32_t shards)
        : targets(Policy {}, 1),
          engine(Policy {}, this->targets, [](const EntryName &) { return false; })
    {
        this->entry.name = EntryName("fit-check");
        this->entry.service = ServiceName("fit");
        this->report.snapshots = {{SnapshotVersion(7), shards}};
        this->body = std::make_shared<const std::string>("{}");
        InstanceList list;
        for (std::uint32_t i = 0; i < shards * replicasPerShard; ++i) {
            TargetInstance info;
            info.id = TargetId("fit-" + std::to_string(i));
            info.service = this->entry.service;
            info.shard = ShardId(i / replicasPerShard);
            info.slots = queriesInFlight;
            info.connectionCap = queriesInFlight;
            list.targets.push_back(info);
        }
        Context context = this->context();
        this->targets.onInstances(list, context);
        const std::vector<Effect> openEffects = std::exchange(this->effects, {});
        for (const Effect &effect : openEffects) {
            if (const auto *open = std::get_if<OpenConnection>(&effect)) {
                this->targets.onConnectionOpened({open->connection, open->target, this->report},
                                                 context);
            }
        }
    }

    /// Runs queries until the given number of sub-requests was answered; returns the number of
    /// events.
    std::uint64_t run(std::uint64_t subRequests)
    {
        std::uint64_t events = 0;
        for (std::uint64_t done = 0; done < subRequests;) {
            for (std::uint32_t i = 0; i < queriesInFlight; ++i) {
                this->start();
                ++events;
            }
            const std::vector<Effect> sent = std::exchange(this->effects, {});
            this->now += std::chrono::milliseconds(4);
            for (const Effect &effect : sent) {
                if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
                    this->reply(*send);
                    ++events;
                    ++done;
                }
            }
            this->effects.clear();
        }
        return events;
    }

private:
    Context context() { return {this->now, WallTime {}, this->effects, this->random, this->ids}; }

    void start()
    {
        CallerRequest request;
        request.query = QueryId(++this->lastQuery);
        request.entry = this->entry.name;
        request.caller = CallerName("line-4");
        request.requestId = RequestId("lot-5521");
        request.body = this->body;
        Context context = this->context();
        this->engine.start(request, this->entry, this->now, context);
    }

    void reply(const SendSubRequest &send)
    {
        TargetReplied event;
        event.attempt = send.attempt;
        event.connection = send.connection;
        event.kind = ReplyKind::Answered;
        event.snapshot = send.snapshot;
        event.documents = 1000;
        event.report = this->report;
        Context context = this->context();
        this->engine.onReply(event, context);
    }

    CatalogueEntry entry;
    TargetReport report;
    std::shared_ptr<const std::string> body;
    Instant now {std::chrono::seconds(1)};
    std::uint64_t lastQuery = 0;
    std::vector<Effect> effects;
    RandomEngine random {7};
    IdSource ids;
    TargetTable targets;
    QueryEngine engine;
};

/// The measurements of one run.
struct RunCost
{
    double eventsPerSecond = 0.0;
    double microsecondsPerSubRequest = 0.0;
    double allocationsPerSubRequest = 0.0;
};

RunCost measure(std::uint32_t shards)
{
    EngineLoop loop(shards);
    loop.run(warmUpSubRequests);
    const std::uint64_t allocatedBefore = allocations;
    const auto begin = std::chrono::steady_clock::now();
    const std::uint64_t events = loop.run(subRequestsPerRun);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const auto subRequests = static_cast<double>(subRequestsPerRun);
    return {static_cast<double>(events) / elapsed.count(), elapsed.count() * 1e6 / subRequests,
            static_cast<double>(allocations - allocatedBefore) / subRequests};
}

void print(std::uint32_t shards, const RunCost &cost, double costWithTenShards)
{
    std::printf("reducer-bench: shards %u events-per-s %.0f us-per-sub-request %.2f "
                "allocations-per-sub-request %.1f ratio-to-10-shards %.2f\n",
                shards, cost.eventsPerSecond, cost.microsecondsPerSubRequest,
                cost.allocationsPerSubRequest, cost.microsecondsPerSubRequest / costWithTenShards);
}

/// Returns the run with the median cost per sub-request.
RunCost medianRun(std::vector<RunCost> costs)
{
    std::ranges::sort(costs, {}, &RunCost::microsecondsPerSubRequest);
    return costs[costs.size() / 2];
}

} // namespace

// Counts every allocation of this program.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

int main(int argc, char **argv)
{
    static const option longOptions[] = {{"version", no_argument, nullptr, 'v'},
                                         {"help", no_argument, nullptr, 'h'},
                                         {nullptr, 0, nullptr, 0}};
    if (const int c = getopt_long(argc, argv, "", longOptions, nullptr); c != -1) {
        (c == '?' ? std::cerr : std::cout)
                << (c == 'v' ? "lagoondeck-reducer-bench " LAGOONDECK_VERSION "\n" : usage);
        return c == '?' ? exitUsage : exitOk;
    }
    const std::vector<std::uint32_t> shardCounts {10, 50, 100, 200};
    std::vector<std::vector<RunCost>> costs(shardCounts.size());
    // The shard counts alternate, so that a disturbance of the machine affects all of them.
    for (std::uint32_t round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < shardCounts.size(); ++i) {
            costs[i].push_back(measure(shardCounts[i]));
        }
    }
    const double costWithTenShards = medianRun(costs.front()).microsecondsPerSubRequest;
    for (std::size_t i = 0; i < shardCounts.size(); ++i) {
        print(shardCounts[i], medianRun(costs[i]), costWithTenShards);
    }
    return exitOk;
}
