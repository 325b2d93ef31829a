// Servers in need state a limit; the callers rest for some seconds, then many come at once. Rule
// LIMIT: a server gets no more than one and a half times its limit, and 5 requests, in any 4 s.

#include "review/harness/harness.hh"

#include <algorithm>
#include <iostream>
#include <set>

using namespace review;

namespace {

constexpr double limitPerSecond = 1.0;
constexpr double windowSeconds = 4.0;
constexpr double allowedArrivals = 1.5 * limitPerSecond * windowSeconds + 5.0;
constexpr double stableWindowSeconds = 4.0;
/// A machine counts this long after it has passed on an answer with the limit.
constexpr double toldSeconds = 0.5;
constexpr double steadySeconds = 16.0;
constexpr double restSeconds = 8.0;
constexpr double steadyInterval = 0.25;
constexpr int burstPerNode = 20;
constexpr double timeLimitSeconds = 6.0;

const std::string config =
        R"({"version":3,"routes":[{"name":"cert","host":"h.example","prefix":"/cert/",)"
        R"("route_type":"safe","timeout_ms":6000,"target_latency_ms":600,"priority":2,)"
        R"("service":"ulat","attempts":2}],"services":[{"name":"ulat","health_path":"/healthz",)"
        R"("max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
        R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Passed
{
    Node *node = nullptr;
    std::string server;
    double at = 0.0;
};

std::string request(const std::string &id)
{
    return "GET /cert/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 6000\r\n\r\n";
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    const bool trouble = withTrouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    World world;
    world.put("op/config", config);
    const auto workTime = [] { return std::chrono::milliseconds(160); };
    std::vector<std::unique_ptr<Server>> servers;
    for (const char *zone : {"luzon-a", "luzon-b", "luzon-c"}) {
        servers.push_back(std::make_unique<Server>(world, record, std::string("i-") + zone, "ulat",
                                                   zone, workTime));
        servers.back()->setLimit("1.0");
        servers.back()->registerEntry();
    }
    const std::vector<std::string> ips = freeLoopbackAddresses(6);
    const std::vector<std::string> zones {"luzon-a", "luzon-a", "luzon-a",
                                          "luzon-b", "luzon-c", "luzon-c"};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Node *> all;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i + 1), zones[i], ips[i]));
        all.push_back(nodes.back().get());
    }
    const std::vector<std::string> seeds {all[0]->control(), all[3]->control(), all[4]->control()};
    for (Node *node : all) {
        node->start(world, seeds, true, record);
    }
    std::mutex mutex;
    std::vector<Passed> passed;
    std::map<std::string, Node *> sentTo;
    const auto send = [&](Node *node, const std::string &id) {
        {
            const std::lock_guard lock(mutex);
            sentTo[id] = node;
        }
        const Answer answer = call(node->front(), request(id), timeLimitSeconds);
        record.line("request " + id + " to " + node->name() + ": status "
                    + std::to_string(answer.status));
        if (answer.status == 200) {
            const std::string stamp = answer.header("Server-Stamp");
            const std::lock_guard lock(mutex);
            passed.push_back({node, stamp.substr(0, stamp.find('.')), answer.endedAt});
        }
    };
    {
        Balancer balancer(all, record);
        for (double until = now() + 15.0; !balancer.allReady();) {
            if (now() > until) {
                giveUp("the nodes are not ready");
            }
            sleepUntil(now() + 0.1);
        }
        sleepUntil(now() + 6.0);
        int number = 0;
        std::vector<std::thread> requests;
        const auto steady = [&](double seconds) {
            const double end = now() + seconds;
            for (double next = now(); next < end; next += steadyInterval) {
                sleepUntil(next);
                for (Node *node : all) {
                    const std::string id = "s" + std::to_string(++number);
                    requests.emplace_back([&send, node, id] { send(node, id); });
                }
            }
        };
        steady(steadySeconds);
        if (trouble) {
            record.line("the callers rest");
            sleepUntil(now() + restSeconds);
        } else {
            steady(restSeconds);
        }
        record.line("many callers at once");
        for (int i = 0; i < burstPerNode; ++i) {
            for (Node *node : all) {
                const std::string id = "b" + std::to_string(++number);
                requests.emplace_back([&send, node, id] { send(node, id); });
            }
        }
        for (std::thread &thread : requests) {
            thread.join();
        }
        sleepUntil(now() + windowSeconds);
    }
    int broken = 0;
    std::size_t most = 0;
    for (const auto &server : servers) {
        std::vector<Run> runs = server->runs();
        std::ranges::sort(runs, {}, &Run::begin);
        if (runs.empty()) {
            continue;
        }
        const double countedFrom = runs.front().end + stableWindowSeconds;
        std::vector<double> arrivals;
        for (const Run &run : runs) {
            const bool isTold = std::ranges::any_of(passed, [&](const Passed &answer) {
                return answer.node == sentTo[run.requestId] && answer.server == run.server
                        && answer.at + toldSeconds <= run.begin;
            });
            if (isTold && run.begin >= countedFrom) {
                arrivals.push_back(run.begin);
            }
        }
        std::size_t busiest = 0;
        for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] > windowSeconds) {
                ++first;
            }
            busiest = std::max(busiest, last - first + 1);
        }
        record.line("server " + runs.front().server + ": at most " + std::to_string(busiest)
                    + " requests in 4 s from machines that knew its limit, "
                    + std::to_string(static_cast<int>(allowedArrivals)) + " are allowed");
        broken += static_cast<double>(busiest) > allowedArrivals ? 1 : 0;
        most = std::max(most, busiest);
    }
    std::cout << "LIMIT: at most " << most << " requests in 4 s, "
              << static_cast<int>(allowedArrivals) << " are allowed; broken at " << broken << " of "
              << servers.size() << " servers\n";
    endAll();
    if (passed.size() < 20) {
        return exitCannotRun;
    }
    return broken > 0 ? exitBroken : exitHeld;
}
