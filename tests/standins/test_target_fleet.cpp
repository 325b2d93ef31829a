#include "served_loop.h"
#include "standins/run_recorder.h"
#include "standins/target_fleet.h"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

using namespace lagoondeck;

namespace {

/// Two replicas of one shard, each with one slot, a queue of one sub-request and at most three
/// connections.
Topology smallTopology(Duration meanService)
{
    ServiceTopology service;
    service.name = "fit";
    service.serversPerGroup = 2;
    service.shards = 1;
    service.slots = 1;
    service.queueLimit = 1;
    service.connectionCap = 3;
    service.meanService = meanService;
    service.serviceSigma = 0.0;
    Topology topology;
    topology.services.push_back(service);
    return topology;
}

/// A fleet of targets that serves for the lifetime of this object.
class ServedFleet
{
public:
    explicit ServedFleet(Duration meanService) : fleet(loop, smallTopology(meanService))
    {
        this->fleet.start();
        this->control = this->fleet.controlAddress();
        this->target = this->fleet.list().targets[0].address;
        this->served = std::make_unique<ServedLoop>(this->loop);
    }

    CallReply command(const std::string &json)
    {
        return TestClient(this->control).call("POST", "/v1/control", json);
    }

    nlohmann::json total()
    {
        const CallReply reply = TestClient(this->control).call("GET", "/v1/counts");
        return nlohmann::json::parse(reply.body).at("total");
    }

    RunsByRequest ran()
    {
        return parseRunDump(TestClient(this->control).call("GET", "/v1/ran").body);
    }

    std::string control;
    std::string target;

private:
    EventLoop loop;
    TargetFleet fleet;
    std::unique_ptr<ServedLoop> served;
};

constexpr Duration shortService = std::chrono::milliseconds(2);
constexpr Duration longService = std::chrono::milliseconds(300);
const std::string query = "/v1/shards/0/query";

Headers headersOf(const std::string &number, const std::string &version = "1",
                  const std::string &deadlineUs = "5000000")
{
    return {{"Lagoon-Attempt", "entry-1/" + number},
            {"Lagoon-Request", "request-" + number},
            {"Lagoon-Caller", "caller"},
            {"Lagoon-Snapshot", version},
            {"Lagoon-Idempotent", "false"},
            {"Lagoon-Deadline-Us", deadlineUs}};
}

} // namespace

TEST_CASE("A target's answer states the id and the index version of the request")
{
    ServedFleet fleet(shortService);
    TestClient client(fleet.target);
    CHECK(client.call("GET", "/v1/health").header("Lagoon-Snapshots") == "1/1");
    const CallReply reply = client.call("POST", query, "{}", headersOf("1"));
    REQUIRE(reply.status() == 200);
    CHECK(reply.header("Lagoon-Attempt") == "entry-1/1");
    CHECK(reply.header("Lagoon-Documents") == std::to_string(documentsOf("fit", 0, 1)));
    const auto hit = nlohmann::json::parse(reply.body).at("hits").at(0);
    CHECK(hit.at("requestId") == "request-1");
    CHECK(hit.at("version") == 1);
    const RunsByRequest ran = fleet.ran();
    const RequestRuns &runs = ran.at(runKey("fit", "caller", "request-1"));
    CHECK_FALSE(runs.idempotent);
    REQUIRE(runs.shards.size() == 1);
    CHECK(runs.shards[0].runs == 1);
    CHECK(runs.shards[0].version == 1);
}

TEST_CASE("A target with full slots and queue sheds a sub-request and does not record it as run")
{
    ServedFleet fleet(longService);
    TestClient first(fleet.target);
    TestClient second(fleet.target);
    TestClient third(fleet.target);
    first.send("POST", query, "{}", headersOf("1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    second.send("POST", query, "{}", headersOf("2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    const CallReply shed = third.call("POST", query, "{}", headersOf("3"));
    CHECK(shed.status() == 503);
    CHECK(shed.header("Lagoon-Not-Run") == "shed");
    CHECK(first.receive().status() == 200);
    CHECK(second.receive().status() == 200);
    CHECK(fleet.ran().size() == 2);
    CHECK(fleet.total().at("shed") == 1);
}

TEST_CASE("A target reports whether a cancelled attempt had started to run")
{
    ServedFleet fleet(longService);
    TestClient running(fleet.target);
    TestClient waiting(fleet.target);
    TestClient other(fleet.target);
    running.send("POST", query, "{}", headersOf("1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    waiting.send("POST", query, "{}", headersOf("2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    CHECK(other.call("DELETE", "/v1/attempts/entry-1%2F2").status() == 204);
    CHECK(waiting.receive().header("Lagoon-Not-Run") == "cancelled");
    CHECK(other.call("DELETE", "/v1/attempts/entry-1%2F1").status() == 204);
    CHECK(running.receive().header("Lagoon-Ran") == "cancelled");
    CHECK(fleet.ran().size() == 1);
}

TEST_CASE("A target does not run a sub-request that expired in the queue")
{
    ServedFleet fleet(longService);
    TestClient running(fleet.target);
    TestClient waiting(fleet.target);
    running.send("POST", query, "{}", headersOf("1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    const CallReply expired = waiting.call("POST", query, "{}", headersOf("2", "1", "20000"));
    CHECK(expired.status() == 504);
    CHECK(expired.header("Lagoon-Not-Run") == "expired");
    CHECK(running.receive().status() == 200);
    CHECK(fleet.ran().size() == 1);
}

TEST_CASE("A target refuses connections above its cap without waiting for a request")
{
    ServedFleet fleet(shortService);
    std::vector<std::unique_ptr<TestClient>> accepted;
    for (int i = 0; i < 3; ++i) {
        accepted.push_back(std::make_unique<TestClient>(fleet.target));
        REQUIRE(accepted.back()->call("GET", "/v1/health").status() == 200);
    }
    const CallReply refused = TestClient(fleet.target).call("GET", "/v1/health");
    CHECK(refused.status() == 503);
    CHECK(refused.header("Lagoon-Not-Run") == "connection-cap");
    CHECK(fleet.total().at("connectionsRefused") == 1);
}

TEST_CASE("A leaving target refuses new sub-requests and reports that it is leaving")
{
    ServedFleet fleet(shortService);
    TestClient client(fleet.target);
    CHECK(fleet.command(R"({"action":"leave"})").status() == 200);
    const CallReply reply = client.call("POST", query, "{}", headersOf("1"));
    CHECK(reply.status() == 503);
    CHECK(reply.header("Lagoon-Not-Run") == "draining");
    CHECK(reply.header("Lagoon-Leaving") == "true");
    CHECK(fleet.ran().empty());
}

TEST_CASE("Targets adopt a new index version and retire the old one while they serve")
{
    ServedFleet fleet(shortService);
    TestClient client(fleet.target);
    fleet.command(R"({"action":"version","version":2,"shards":1,"retireAfterMs":150})");
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
    CHECK(client.call("GET", "/v1/health").header("Lagoon-Snapshots") == "1/1,2/1");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    CHECK(client.call("POST", query, "{}", headersOf("1")).header("Lagoon-Not-Run") == "snapshot");
    CHECK(client.call("POST", query, "{}", headersOf("2", "2")).status() == 200);
}

TEST_CASE("A poison body crashes the target that runs it, and the run is recorded")
{
    ServedFleet fleet(shortService);
    fleet.command(R"({"action":"poison","text":"poison","downMs":60000})");
    TestClient client(fleet.target);
    client.send("POST", query, R"({"a":"poison"})", headersOf("1"));
    CHECK_THROWS_AS(client.receive(), Poco::Exception);
    CHECK_THROWS_AS(TestClient(fleet.target).call("GET", "/v1/health"), Poco::Exception);
    CHECK(fleet.total().at("crashes") == 1);
    CHECK(fleet.ran().size() == 1);
    fleet.command(R"({"action":"revive"})");
    CHECK(TestClient(fleet.target).call("GET", "/v1/health").header("Lagoon-Cold") == "true");
}

TEST_CASE("A lagging load report states the load of an earlier time")
{
    ServedFleet fleet(longService);
    fleet.command(R"({"action":"report","lagMs":150})");
    TestClient client(fleet.target);
    TestClient other(fleet.target);
    client.send("POST", query, "{}", headersOf("1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(other.call("GET", "/v1/health").header("Lagoon-In-Flight") == "0");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(other.call("GET", "/v1/health").header("Lagoon-In-Flight") == "1");
}

TEST_CASE("An invalid command is refused and changes nothing")
{
    ServedFleet fleet(shortService);
    CHECK(fleet.command(R"({"action":"explode"})").status() == 400);
    CHECK(fleet.command("{").status() == 400);
    CHECK(fleet.command(R"({"action":"slow"})").status() == 400);
    CHECK(fleet.command(R"([1])").status() == 400);
}
