// Clients send requests whose body holds the bytes of another request, with a transfer coding other
// than chunked as the last one. Rule UNASKED: no server runs the request inside the body.

#include "review/harness/harness.hh"

#include <iostream>

using namespace review;

namespace {

constexpr int requestsPerNode = 5;

const std::string config =
        R"({"version":3,"routes":[{"name":"intake","host":"h.example","prefix":"/intake/",)"
        R"("route_type":"unsafe","timeout_ms":2000,"target_latency_ms":400,"priority":2,)"
        R"("service":"talaan","attempts":2}],"services":[{"name":"talaan",)"
        R"("health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000}})";

std::string innerRequest(const std::string &id)
{
    return "POST /intake/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nContent-Length: 0\r\n\r\n";
}

std::string head(const std::string &id, const std::string &coding)
{
    return "POST /intake/outer HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 2000\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
}

std::string chunked(const std::string &body)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return size + body + "\r\n0\r\n\r\n";
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
    for (const char *zone : {"z1", "z2", "z3"}) {
        servers.push_back(std::make_unique<Server>(world, record, std::string("i-") + zone,
                                                   "talaan", zone, workTime));
        servers.back()->registerEntry();
    }
    const std::vector<std::string> ips = freeLoopbackAddresses(3);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Node *> all;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i + 1),
                                               "z" + std::to_string(i + 1), ips[i]));
        all.push_back(nodes.back().get());
        seeds.push_back(nodes.back()->control());
    }
    for (Node *node : all) {
        node->start(world, seeds, true, record);
    }
    {
        Balancer balancer(all, record);
        for (double until = now() + 15.0; !balancer.allReady();) {
            if (now() > until) {
                giveUp("the nodes are not ready");
            }
            sleepUntil(now() + 0.1);
        }
        sleepUntil(now() + 5.0);
        int number = 0;
        for (int i = 0; i < requestsPerNode; ++i) {
            for (Node *node : all) {
                const std::string id = std::to_string(++number);
                const std::string inner = innerRequest("inner-" + id);
                const std::string bytes = trouble ? head("outer-" + id, "chunked, identity") + inner
                                                  : head("outer-" + id, "chunked") + chunked(inner);
                const std::string answer = exchange(node->front(), bytes, 0.5);
                record.line("request outer-" + id + " to " + node->name()
                            + ", answered: " + answer.substr(0, answer.find("\r\n")));
            }
        }
    }
    int inner = 0;
    int outer = 0;
    for (const auto &server : servers) {
        for (const Run &run : server->runs()) {
            inner += run.requestId.starts_with("inner-") ? 1 : 0;
            outer += run.requestId.starts_with("outer-") ? 1 : 0;
        }
    }
    record.line(std::to_string(inner) + " requests from inside a body were run, and "
                + std::to_string(outer) + " whole requests");
    std::cout << "UNASKED: " << inner << " requests from inside a body were run\n";
    endAll();
    if (!trouble && outer == 0) {
        return exitCannotRun;
    }
    return inner > 0 ? exitBroken : exitHeld;
}
