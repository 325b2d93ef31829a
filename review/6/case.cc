// A settings change (SIGHUP) and a stop (SIGTERM) reach a machine right behind each other. Requests
// that its process has passed on to a server must still be answered.
#include "../rig-2/rig.hh"

using namespace rig;

namespace {

constexpr int machines = 6;
constexpr int requestsPerMachine = 8;
constexpr int workMs = 700;
/// How long the requests have run when the signals are sent.
constexpr int beforeSignalsMs = 300;

} // namespace

int main(int argc, char **argv)
{
    Case test(argc, argv);
    Record &record = *test.record;
    Store store("127.0.0.1", machines);
    Runs runs;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Server *> all;
    const char *zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int i = 0; i < 6; ++i) {
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(i), "single", zones[i % 3],
                                                   "127.0.0.1", 8, runs));
        servers.back()->workMs = workMs;
        all.push_back(servers.back().get());
    }
    store.put("op/config",
              json {{"version", 7},
                    {"routes",
                     {{{"name", "r-single"},
                       {"host", "one.example"},
                       {"prefix", "/single/"},
                       {"route_type", "safe"},
                       {"timeout_ms", 6000},
                       {"target_latency_ms", 1200},
                       {"priority", 1},
                       {"service", "single"},
                       {"attempts", 2}}}},
                    {"services",
                     {{{"name", "single"}, {"health_path", "/healthz"}, {"max_conns", 96}}}},
                    {"limits", limits()}}
                      .dump());
    Heartbeats heartbeats(store, all, 1200);
    Fleet fleet(machines, store, test.root, test.folder);
    fleet.startAll();
    fleet.awaitReady();
    // Longer than stable_window_ms after the start of the processes.
    sleepMs(5000);

    std::atomic<int> lost {0};
    int crashed = 0;
    for (auto &daemon : fleet.daemons) {
        std::vector<std::thread> clients;
        for (int i = 0; i < requestsPerMachine; ++i) {
            clients.emplace_back([&, i] {
                const std::string id = newId();
                Client client(daemon->machine.ip, daemon->machine.front);
                record.line("sent " + id + " to " + daemon->machine.name);
                Message answer;
                const Got got = client.ask(request("GET", "one.example",
                                                   "/single/" + std::to_string(i), id, 5000),
                                           answer, 6000);
                record.line("answer to " + id + ": " + toString(got) + " "
                            + std::to_string(answer.status));
                if (got != Got::Message) {
                    ++lost;
                    record.line("the connection of " + id + " ended without an answer");
                }
            });
        }
        sleepMs(beforeSignalsMs);
        if (test.trouble) {
            record.line("SIGHUP and SIGTERM to " + daemon->machine.name);
            kill(daemon->pid, SIGHUP);
            kill(daemon->pid, SIGTERM);
        }
        for (std::thread &client : clients) {
            client.join();
        }
        int status = 0;
        if (daemon->hasEnded(status)) {
            crashed += WIFSIGNALED(status) ? 1 : 0;
            record.line(daemon->machine.name + " ended, "
                        + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                               : "exit " + std::to_string(WEXITSTATUS(status))));
        }
    }
    test.end(runs, fleet, lost > 0,
             "requests without an answer: " + std::to_string(lost) + " of "
                     + std::to_string(machines * requestsPerMachine) + "; processes that crashed: "
                     + std::to_string(crashed) + " of " + std::to_string(machines));
}
