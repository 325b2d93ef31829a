// A request that crashes each server that runs it comes again and again at any machine, while the
// machines are stopped and started in turn. Rule BUDGET: later than stable_window_ms after it has
// crashed the third server, it reaches servers in three retries at most.

#include "review/harness/harness.hh"

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr double graceSeconds = 6.0;
constexpr double stableWindowSeconds = 4.0;
constexpr double restartDelay = 0.5;
constexpr double poisonInterval = 1.2;
constexpr double plainInterval = 0.05;
constexpr double firstStopAfter = 12.0;
constexpr double stopInterval = 10.0;
constexpr double observedSeconds = 80.0;
constexpr double timeLimitSeconds = 2.0;
constexpr std::size_t allowedRetries = 3;

const std::string config =
        R"({"version":3,"routes":[{"name":"cert","host":"h.example","prefix":"/cert/",)"
        R"("route_type":"safe","timeout_ms":2000,"target_latency_ms":400,"priority":2,)"
        R"("service":"katibayan","attempts":2}],"services":[{"name":"katibayan",)"
        R"("health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000}})";

/// When a machine was disturbed last.
struct Machine
{
    Node *node = nullptr;
    double termAt = -1.0;
    double disturbedAt = -1.0;
    bool stopping = false;
    bool stopped = false;
    double endedAt = -1.0;
};

struct Try
{
    std::string id;
    std::string node;
    double sentAt = -1.0;
    bool inTouch = false;
    int status = 0;
};

std::string request(const std::string &path, const std::string &id)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 2000\r\n\r\n";
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    const bool trouble = withTrouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    World world;
    world.put("op/config", config);
    const auto workTime = [] { return std::chrono::milliseconds(20); };
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 15; ++i) {
        servers.push_back(std::make_unique<Server>(world, record, "i-" + std::to_string(i),
                                                   "katibayan",
                                                   std::string("luzon-") + "abc"[i % 3], workTime));
        servers.back()->setCrashPath("/cert/poison");
        servers.back()->registerEntry();
    }
    const std::vector<std::string> ips = freeLoopbackAddresses(6);
    const std::vector<std::string> zones {"luzon-a", "luzon-a", "luzon-a",
                                          "luzon-b", "luzon-c", "luzon-c"};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Node *> all;
    std::vector<Machine> machines;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i + 1), zones[i], ips[i]));
        all.push_back(nodes.back().get());
        machines.push_back({nodes.back().get()});
    }
    const std::vector<std::string> seeds {all[0]->control(), all[3]->control(), all[4]->control()};
    for (Node *node : all) {
        node->start(world, seeds, true, record);
    }
    std::vector<Try> tries;
    {
        Balancer balancer(all, record);
        for (double until = now() + 15.0; !balancer.allReady();) {
            if (now() > until) {
                giveUp("the nodes are not ready");
            }
            sleepUntil(now() + 0.1);
        }
        sleepUntil(now() + 5.0);
        const double begin = now();
        std::atomic<bool> ending = false;
        std::thread plainClients([&] {
            std::uint64_t number = 0;
            for (double next = now(); !ending; next += plainInterval) {
                sleepUntil(next);
                Node *node = balancer.choose(zones[number % zones.size()], number);
                const std::string id = "plain-" + std::to_string(++number);
                call(node->front(), request("/cert/" + id, id), timeLimitSeconds);
            }
        });
        double nextPoison = begin;
        std::size_t turn = 0;
        while (now() < begin + observedSeconds) {
            for (std::size_t i = 0; trouble && i < machines.size(); ++i) {
                Machine &machine = machines[i];
                const double stopAt =
                        begin + firstStopAfter + static_cast<double>(i) * stopInterval;
                if (!machine.stopping && !machine.stopped && now() >= stopAt) {
                    machine.stopping = true;
                    machine.termAt = now();
                    machine.node->signal(SIGTERM, record);
                }
                if (machine.stopping) {
                    machine.disturbedAt = now();
                    if (machine.endedAt < 0.0 && machine.node->hasEnded(record)) {
                        machine.endedAt = now();
                    } else if (machine.endedAt < 0.0 && now() > machine.termAt + graceSeconds) {
                        machine.node->signal(SIGKILL, record);
                    }
                    if (machine.endedAt >= 0.0 && now() > machine.endedAt + restartDelay) {
                        machine.node->start(world, seeds, false, record);
                        machine.stopping = false;
                        machine.stopped = true;
                    }
                }
            }
            if (now() >= nextPoison) {
                nextPoison += poisonInterval;
                // The next machine in turn that takes connections.
                Machine &machine = machines[turn++ % machines.size()];
                Try attempt {"poison-" + std::to_string(turn), machine.node->name()};
                attempt.inTouch =
                        !machine.stopping && now() > machine.disturbedAt + stableWindowSeconds;
                const Answer answer = call(machine.node->front(),
                                           request("/cert/poison", attempt.id), timeLimitSeconds);
                attempt.sentAt = answer.sentAt;
                attempt.status = answer.status;
                record.line("poison request " + attempt.id + " to " + attempt.node
                            + (attempt.inTouch ? ", in touch" : ", not in touch") + ": status "
                            + std::to_string(answer.status));
                tries.push_back(attempt);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        ending = true;
        plainClients.join();
    }
    std::vector<Run> crashes;
    for (const auto &server : servers) {
        for (const Run &run : server->runs()) {
            if (run.path == "/cert/poison") {
                crashes.push_back(run);
            }
        }
    }
    std::ranges::sort(crashes, {}, &Run::begin);
    if (crashes.size() < 3) {
        giveUp("the request did not crash three servers");
    }
    const double thirdCrashAt = crashes[2].begin;
    std::size_t retries = 0;
    for (const Try &attempt : tries) {
        const bool reached =
                std::ranges::find(crashes, attempt.id, &Run::requestId) != crashes.end();
        if (reached && attempt.inTouch && attempt.sentAt > thirdCrashAt + stableWindowSeconds) {
            ++retries;
            record.line("retry " + attempt.id + " by " + attempt.node + " reached a server "
                        + std::to_string(attempt.sentAt - thirdCrashAt)
                        + " s after the third crash");
        }
    }
    record.line(std::to_string(retries) + " retries reached servers, of "
                + std::to_string(tries.size()) + "; " + std::to_string(crashes.size())
                + " servers crashed");
    std::cout << "BUDGET: " << retries << " retries by machines in touch reached servers, "
              << allowedRetries << " are allowed; " << crashes.size() << " servers crashed\n";
    endAll();
    return retries > allowedRetries ? exitBroken : exitHeld;
}
