#include "core/instance_list_codec.h"
#include "served_loop.h"
#include "standins/instance_service.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

using namespace lagoondeck;

TEST_CASE("A change of the instance list becomes visible after the lag")
{
    EventLoop loop;
    InstanceService service(loop, "127.0.0.1:0", {});
    service.start();
    const std::string address = service.boundAddress();
    const ServedLoop served(loop);
    TestClient client(address);
    const auto list = [&] {
        return nlohmann::json::parse(client.call("GET", "/v1/instances").body);
    };

    const std::string entry =
            R"({"entries":[{"id":"entry-1","peerAddress":"127.0.0.1:1","httpAddress":"127.0.0.1:2"}]})";
    CHECK(client.call("POST", "/v1/control", entry).status() == 204);
    CHECK(list().at("entries").size() == 1);
    client.call("POST", "/v1/control", R"({"lagMs":150,"leaving":["entry-1"]})");
    CHECK(list().at("entries").at(0).at("state") == "live");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    CHECK(list().at("entries").at(0).at("state") == "leaving");
    client.call("POST", "/v1/control", R"({"lagMs":0,"remove":["entry-1"]})");
    CHECK(list().at("entries").empty());
    CHECK(client.call("POST", "/v1/control", R"({"entries":[{"id":1}]})").status() == 400);
    CHECK(client.call("POST", "/v1/control", "nonsense").status() == 400);
}
