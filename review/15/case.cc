// The process that reads the logs stands still, and the settings file changes a few times. The
// machine must go on answering.
#include "review/rig-3/rig.hh"

#include <cstdio>
#include <csignal>
#include <memory>

using namespace rig;

namespace {

constexpr double warmUpSeconds = 4.0;
/// The log reader stands still for so long before the first SIGHUP.
constexpr double stallSeconds = 10.0;
/// `hup` in the site file: share 0.6, gap_s 2. One of two processes gets the signal.
constexpr double hupGapSeconds = 2.0;
constexpr int maxHups = 30;
/// After the last SIGHUP.
constexpr double checkSeconds = 5.0;
constexpr double routeTimeout = 2.0;
constexpr double answerSlack = 0.5;

/// The times of a request.
struct Times
{
    double sentAt = 0.0;
    /// 0 until there is an answer.
    double answeredAt = 0.0;
};

} // namespace

int main(int, char **argv)
{
    const std::string directory = argv[1];
    openRecord(argv[2]);
    Store store;
    store.start();
    Runs runs;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Server *> all;
    for (int i = 0; i < 3; ++i) {
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(i), "patterns",
                                                   "z" + std::to_string(i + 1), 4, 0.02, runs));
        all.push_back(servers.back().get());
        all.back()->start();
    }
    store.put("op/config",
              configText(7, {{"patterns", "/patterns/", "safe", "\"service\":\"patterns\""}},
                         {"patterns"}));
    Heartbeats heartbeats(store, all);
    LogReader reader;
    Node node("front-1", "z1", store.port(), directory);
    Node other("front-2", "z2", store.port(), directory);
    node.start(reader.descriptor());
    other.start();
    if (!node.waitUntilReady(15.0) || !other.waitUntilReady(15.0)) {
        std::puts("a process is not ready");
        std::fflush(stdout);
        node.stop();
        other.stop();
        std::_Exit(2);
    }
    std::atomic<bool> isOver = false;
    std::atomic<double> lastAnswerAt = now();
    std::mutex mutex;
    std::vector<Times> requests;
    std::vector<std::thread> clients;
    for (int i = 0; i < 8; ++i) {
        clients.emplace_back([&, i] {
            Client client(node.port());
            for (int j = 0; !isOver; ++j) {
                // One client in four asks for what no route serves, which is logged.
                const bool isUnknown = i % 4 == 0;
                const std::string id = "r" + std::to_string(i) + "-" + std::to_string(j);
                Times times {now()};
                const Answer answer =
                        client.call("GET", (isUnknown ? "/unknown/" : "/patterns/") + id, id);
                times.answeredAt = answer.status == 0 ? 0.0 : now();
                if (answer.status != 0) {
                    lastAnswerAt = now();
                }
                {
                    const std::scoped_lock lock(mutex);
                    requests.push_back(times);
                }
                sleepFor(isUnknown ? 0.02 : 0.1 * chance());
            }
        });
    }
    sleepFor(warmUpSeconds);
    if (hasTrouble()) {
        record("the log reader stops");
        reader.signal(SIGSTOP);
    }
    sleepFor(stallSeconds);
    int hups = 0;
    while (hups < maxHups && now() - lastAnswerAt < hupGapSeconds) {
        ++hups;
        record("SIGHUP to " + node.name());
        node.signal(SIGHUP);
        sleepFor(hupGapSeconds);
    }
    sleepFor(checkSeconds);
    const double checkedAt = now();
    const bool isReady = node.waitUntilReady(1.0);
    record(isReady ? "the process says that it is ready" : "the process does not answer");
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record("the log reader goes on");
    reader.signal(SIGCONT);
    const bool isBack = node.waitUntilReady(3.0);
    record(isBack ? "the process says that it is ready" : "the process does not answer");
    node.stop();
    other.stop();
    int unanswered = 0;
    int muchLater = 0;
    for (const Times &times : requests) {
        if (times.sentAt + routeTimeout + answerSlack > checkedAt) {
            continue;
        }
        const double took = times.answeredAt == 0.0 ? 1e9 : times.answeredAt - times.sentAt;
        unanswered += took > routeTimeout ? 1 : 0;
        muchLater += took > routeTimeout + answerSlack ? 1 : 0;
    }
    const std::string result = std::to_string(requests.size()) + " requests, "
            + std::to_string(hups) + " SIGHUP; " + std::to_string(unanswered)
            + " were unanswered at the route's timeout, " + std::to_string(muchLater)
            + " of them half a second later; then the process "
            + (isReady ? "answered" : "did not answer") + ", and after the log reader went on it "
            + (isBack ? "did" : "did not");
    record(result);
    std::puts(result.c_str());
    std::fflush(stdout);
    if (requests.size() < 100) {
        std::_Exit(2);
    }
    std::_Exit(muchLater >= 4 && muchLater * 2 > unanswered && !isReady ? 1 : 0);
}
