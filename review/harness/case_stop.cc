// The machines of a zone are stopped and started in turn under steady load. Rule LOST: a request
// that a process has read and passed on to a server gets a complete answer.

#include "review/harness/harness.hh"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

using namespace review;

namespace {

constexpr double graceSeconds = 6.0;
constexpr double stopInterval = 1.0;
/// A request that was sent no later than this after the SIGTERM is excused.
constexpr double excusedSeconds = 3.0;
constexpr double restartDelay = 0.5;
constexpr double timeLimitSeconds = 6.0;
/// The crest of the wave of the zone with the most requests: 71.4 a second and 55 in 100 more.
constexpr double requestInterval = 1.0 / 110.0;
constexpr int rounds = 2;
constexpr double roundSeconds = 14.0;

const std::string config =
        R"({"version":3,"routes":[{"name":"cert","host":"h.example","prefix":"/cert/",)"
        R"("route_type":"unsafe","timeout_ms":6000,"target_latency_ms":600,"priority":2,)"
        R"("service":"katibayan","attempts":2}],"services":[{"name":"katibayan",)"
        R"("health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000}})";

struct Sent
{
    std::string id;
    Node *node = nullptr;
    Answer answer;
};

/// One machine that is stopped in turn.
struct Stop
{
    Node *node = nullptr;
    double termAt = 0.0;
    bool killed = false;
    double endedAt = -1.0;
    bool restarted = false;
};

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    const bool trouble = withTrouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    World world;
    world.put("op/config", config);
    std::mt19937_64 random(7);
    // The site's work: 160 ms on average with a spread of 0.5, 960 ms at most.
    std::lognormal_distribution<double> work(std::log(160.0) - 0.125, 0.5);
    std::mutex workMutex;
    const auto workTime = [&] {
        const std::lock_guard lock(workMutex);
        return std::chrono::milliseconds(static_cast<int>(std::clamp(work(random), 20.0, 960.0)));
    };
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 15; ++i) {
        servers.push_back(std::make_unique<Server>(world, record, "i-" + std::to_string(i),
                                                   "katibayan",
                                                   std::string("luzon-") + "abc"[i % 3], workTime));
        servers.back()->registerEntry();
    }
    // Three machines in luzon-a, one in luzon-b, two in luzon-c, as in the site file.
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
    std::vector<Sent> results;
    std::vector<Stop> stops;
    {
        Balancer balancer(all, record);
        for (double until = now() + 15.0; !balancer.allReady();) {
            if (now() > until) {
                giveUp("the nodes are not ready");
            }
            sleepUntil(now() + 0.1);
        }
        const double begin = now() + 6.0;
        const double end = begin + rounds * roundSeconds;
        std::atomic<int> open = 0;
        std::thread clients([&] {
            std::mt19937_64 hashes(11);
            std::uint64_t number = 0;
            for (double next = now(); next < end; next += requestInterval) {
                sleepUntil(next);
                Node *node = balancer.choose("luzon-a", hashes());
                const std::string id = "q" + std::to_string(++number);
                ++open;
                std::thread([&, node, id] {
                    const std::string body = "lot " + id;
                    Sent sent {id, node, {}};
                    sent.answer = call(node->front(),
                                       "POST /cert/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                                               + id + "\r\nDeadline-Ms: 6000\r\nContent-Length: "
                                               + std::to_string(body.size()) + "\r\n\r\n" + body,
                                       timeLimitSeconds);
                    record.line("request " + id + " to " + node->name() + " sent at "
                                + std::to_string(sent.answer.sentAt) + ": "
                                + (!sent.answer.connected ? "no connection"
                                           : sent.answer.status != 0
                                           ? "status " + std::to_string(sent.answer.status)
                                           : sent.answer.timedOut ? "time limit"
                                                                  : "connection ended, no answer"));
                    const std::lock_guard lock(mutex);
                    results.push_back(std::move(sent));
                    --open;
                }).detach();
            }
        });
        for (int round = 0; round < rounds; ++round) {
            std::vector<Stop> current;
            for (int i = 0; trouble && i < 3; ++i) {
                current.push_back({all[static_cast<std::size_t>(i)],
                                   begin + round * roundSeconds + i * stopInterval});
            }
            std::vector<bool> sentTerm(current.size(), false);
            while (now() < begin + (round + 1) * roundSeconds) {
                for (std::size_t i = 0; i < current.size(); ++i) {
                    Stop &stop = current[i];
                    if (!sentTerm[i] && now() >= stop.termAt) {
                        sentTerm[i] = true;
                        stop.termAt = now();
                        stop.node->signal(SIGTERM, record);
                    }
                    if (!sentTerm[i]) {
                        continue;
                    }
                    if (stop.endedAt < 0.0 && stop.node->hasEnded(record)) {
                        stop.endedAt = now();
                    }
                    if (stop.endedAt < 0.0 && !stop.killed && now() > stop.termAt + graceSeconds) {
                        stop.killed = true;
                        stop.node->signal(SIGKILL, record);
                    }
                    if (stop.endedAt >= 0.0 && !stop.restarted
                        && now() > stop.endedAt + restartDelay) {
                        stop.restarted = true;
                        stop.node->start(world, seeds, false, record);
                    }
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            stops.insert(stops.end(), current.begin(), current.end());
        }
        clients.join();
        for (double until = now() + timeLimitSeconds + 1.0; open > 0 && now() < until;) {
            sleepUntil(now() + 0.05);
        }
    }
    std::map<std::string, Run> runs;
    for (const auto &server : servers) {
        for (const Run &run : server->runs()) {
            runs[run.requestId] = run;
        }
    }
    int lost = 0;
    int excused = 0;
    int answered = 0;
    const std::lock_guard lock(mutex);
    for (const Sent &sent : results) {
        answered += sent.answer.status == 200 ? 1 : 0;
        const bool isCut = sent.answer.connected && sent.answer.sentAt >= 0.0
                && sent.answer.status == 0 && !sent.answer.timedOut;
        if (!isCut || !runs.contains(sent.id)) {
            continue;
        }
        for (const Stop &stop : stops) {
            const double cutAt = sent.answer.endedAt - stop.termAt;
            if (stop.node != sent.node || cutAt < 0.0 || cutAt > graceSeconds + 1.0) {
                continue;
            }
            const double sentAfter = sent.answer.sentAt - stop.termAt;
            const bool isExcused = sentAfter <= excusedSeconds && cutAt >= graceSeconds * 5.0 / 6.0;
            (isExcused ? excused : lost) += 1;
            record.line((isExcused ? "excused " : "LOST ") + sent.id + ": sent "
                        + std::to_string(sentAfter) + " s after the SIGTERM of " + sent.node->name()
                        + ", run by " + runs[sent.id].server + " at "
                        + std::to_string(runs[sent.id].begin) + ", connection ended "
                        + std::to_string(cutAt) + " s after the SIGTERM");
        }
    }
    record.line(std::to_string(results.size()) + " requests, " + std::to_string(answered)
                + " answered 200, " + std::to_string(lost) + " lost, " + std::to_string(excused)
                + " excused");
    std::cout << "LOST: " << lost << " requests run and not answered, " << excused
              << " excused, of " << results.size() << ", " << answered << " answered\n";
    endAll();
    if (answered < 100) {
        return exitCannotRun;
    }
    return lost > 0 ? exitBroken : exitHeld;
}
