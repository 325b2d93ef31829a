// Servers in trouble send bytes that are no answer without end. Rule CONFIG: requests of another
// route, at servers that are sound, get their final answer in time.

#include "review/harness/harness.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace review;

namespace {

constexpr double routeTimeoutSeconds = 0.6;
constexpr double lateSeconds = 0.5;
constexpr double clientPatienceSeconds = 8.0;
constexpr double certTimeLimitSeconds = 6.0;
/// The rate of the site.
constexpr double certInterval = 1.0 / 39.5;
constexpr double checkInterval = 0.1;
constexpr double troubleSeconds = 30.0;
constexpr auto heartbeat = std::chrono::milliseconds(1200);

const std::string config =
        R"({"version":3,"routes":[{"name":"cert","host":"h.example","prefix":"/cert/",)"
        R"("route_type":"unsafe","timeout_ms":6000,"target_latency_ms":600,"priority":2,)"
        R"("service":"katibayan","attempts":2},{"name":"check","host":"h.example",)"
        R"("prefix":"/check/","route_type":"safe","timeout_ms":600,"target_latency_ms":60,)"
        R"("priority":1,"service":"sukatan","attempts":2}],"services":[{"name":"katibayan",)"
        R"("health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false},)"
        R"({"name":"sukatan","health_path":"/healthz","max_conns":96,"protocol":"h1",)"
        R"("tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// A server in trouble: it answers each request with heads that are no final answer, until the
/// caller closes the connection.
class EndlessServer
{
public:
    explicit EndlessServer(Record &record) : record(record)
    {
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (bind(this->listener, reinterpret_cast<sockaddr *>(&address), size) != 0
            || listen(this->listener, 128) != 0
            || getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            giveUp("a server can't listen");
        }
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->accept(); });
    }

    ~EndlessServer()
    {
        this->stopping = true;
        this->thread.join();
        while (this->open > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        close(this->listener);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    void accept()
    {
        while (!this->stopping) {
            pollfd ready {this->listener, POLLIN, 0};
            if (poll(&ready, 1, 50) <= 0) {
                continue;
            }
            const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0) {
                ++this->open;
                std::thread([this, connection] {
                    this->serve(connection);
                    close(connection);
                    --this->open;
                }).detach();
            }
        }
    }

    void serve(int connection)
    {
        const timeval patience {0, 100000};
        setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        std::array<char, 4096> input;
        pollfd ready {connection, POLLIN, 0};
        while (!this->stopping && poll(&ready, 1, 50) == 0) { }
        if (this->stopping || recv(connection, input.data(), input.size(), 0) <= 0) {
            return;
        }
        this->record.line("server " + this->address() + ": a request came; bytes without end");
        std::string bytes;
        while (bytes.size() < 50000) {
            bytes += "HTTP/1.1 100 Continue\r\n\r\n";
        }
        while (!this->stopping) {
            const ssize_t count = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
                return;
            }
            if (count > 0 && static_cast<std::size_t>(count) < bytes.size()) {
                // Goes on where the last call ended.
                std::ranges::rotate(bytes, bytes.begin() + count);
            }
        }
    }

    Record &record;
    int listener = -1;
    int port = 0;
    std::atomic<bool> stopping = false;
    std::atomic<int> open = 0;
    std::thread thread;
};

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    const bool trouble = withTrouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    std::vector<std::unique_ptr<std::function<void()>>> beats;
    World world;
    world.put("op/config", config);
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<EndlessServer>> endless;
    const std::vector<std::string> zones {"luzon-a", "luzon-b", "luzon-c"};
    for (const std::string &zone : zones) {
        servers.push_back(std::make_unique<Server>(world, record, "i-s-" + zone, "sukatan", zone,
                                                   [] { return std::chrono::milliseconds(7); }));
        servers.back()->registerEntry();
        if (!trouble) {
            servers.push_back(
                    std::make_unique<Server>(world, record, "i-k-" + zone, "katibayan", zone,
                                             [] { return std::chrono::milliseconds(160); }));
            servers.back()->registerEntry();
            continue;
        }
        endless.push_back(std::make_unique<EndlessServer>(record));
        beats.push_back(std::make_unique<std::function<void()>>());
        std::function<void()> &beat = *beats.back();
        beat = [&world, &beat, zone, address = endless.back()->address(), sequence = 0]() mutable {
            world.store().put("servers/i-k-" + zone,
                              nlohmann::json {{"service", "katibayan"},
                                              {"address", address},
                                              {"zone", zone},
                                              {"version", "v1"},
                                              {"slots", 4},
                                              {"state", "ready"},
                                              {"warmup_left_ms", 0},
                                              {"sequence", ++sequence},
                                              {"born", 1700000000000}}
                                      .dump());
            world.loop().after(heartbeat, [&beat] { beat(); });
        };
        world.run([&beat] { beat(); });
    }
    const std::vector<std::string> ips = freeLoopbackAddresses(3);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Node *> all;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i + 1), zones[i], ips[i]));
        all.push_back(nodes.back().get());
        seeds.push_back(nodes.back()->control());
    }
    for (Node *node : all) {
        node->start(world, seeds, true, record);
    }
    int unanswered = 0;
    int late = 0;
    int sent = 0;
    double longest = 0.0;
    {
        Balancer balancer(all, record);
        for (double until = now() + 15.0; !balancer.allReady();) {
            if (now() > until) {
                giveUp("the nodes are not ready");
            }
            sleepUntil(now() + 0.1);
        }
        sleepUntil(now() + 5.0);
        const double end = now() + troubleSeconds;
        std::vector<std::thread> threads;
        std::mutex mutex;
        std::thread certClients([&] {
            std::vector<std::thread> requests;
            int number = 0;
            for (double next = now(); next < end; next += certInterval) {
                sleepUntil(next);
                Node *node = all[static_cast<std::size_t>(number) % all.size()];
                const std::string id = "cert-" + std::to_string(++number);
                requests.emplace_back([&record, node, id] {
                    const Answer answer =
                            call(node->front(),
                                 "POST /cert/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                                         + "\r\nDeadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n",
                                 certTimeLimitSeconds + 1.0);
                    record.line("request " + id + " to " + node->name() + ": status "
                                + std::to_string(answer.status));
                });
            }
            for (std::thread &thread : requests) {
                thread.join();
            }
        });
        int number = 0;
        for (double next = now(); next < end; next += checkInterval) {
            sleepUntil(next);
            for (Node *node : all) {
                const std::string id = "check-" + std::to_string(++number);
                threads.emplace_back([&, node, id] {
                    const double begin = now();
                    const Answer answer =
                            call(node->front(),
                                 "GET /check/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                                         + "\r\nDeadline-Ms: 6000\r\n\r\n",
                                 clientPatienceSeconds);
                    const double took = now() - begin;
                    record.line("request " + id + " to " + node->name() + ": status "
                                + std::to_string(answer.status) + " after " + std::to_string(took)
                                + " s");
                    const std::lock_guard lock(mutex);
                    ++sent;
                    unanswered += took > routeTimeoutSeconds ? 1 : 0;
                    late += took > routeTimeoutSeconds + lateSeconds ? 1 : 0;
                    longest = std::max(longest, took);
                });
            }
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        certClients.join();
    }
    const std::string result = std::to_string(sent) + " requests with a timeout of 0.6 s: "
            + std::to_string(unanswered) + " unanswered then, " + std::to_string(late)
            + " also 0.5 s later, the longest took " + std::to_string(longest) + " s";
    record.line(result);
    std::cout << "CONFIG: " << result << "\n";
    endless.clear();
    endAll();
    if (sent == 0) {
        return exitCannotRun;
    }
    // Of those that last longer than the timeout, eight or more and over a quarter are late.
    return late >= 8 && late * 4 > unanswered ? exitBroken : exitHeld;
}
