#include "test_cell.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <thread>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

/// What clients that ask one node after another request saw.
struct ClientCounts
{
    std::atomic<int> answered {0};
    std::atomic<int> notRun {0};
    std::atomic<int> other {0};
    std::atomic<int> cut {0};
    std::atomic<int> mixed {0};
};

bool isWhole(const nlohmann::json &answer)
{
    std::set<int> versions;
    std::set<int> shards;
    for (const auto &hit : answer["hits"]) {
        versions.insert(hit["version"].get<int>());
        shards.insert(hit["shard"].get<int>());
    }
    return versions == std::set<int> {answer["snapshot"].get<int>()}
    && shards.size() == answer["coverage"]["shardsAnswered"].get<std::size_t>();
}

/// Asks until told to stop, or until the node says that it takes no more callers.
void ask(const TestCell &cell, const std::atomic<bool> &done, ClientCounts &counts, int client)
{
    for (int i = 0; !done && cell.takesCallers(0); ++i) {
        const std::string id = std::to_string(client) + "-" + std::to_string(i);
        const nlohmann::json answer = cell.query(0, id);
        if (!answer.is_object()) {
            ++counts.cut;
            return;
        }
        const std::string outcome = answer.value("outcome", "");
        const bool answered = outcome == "answered";
        ++(answered ? counts.answered : outcome == "not-run" ? counts.notRun : counts.other);
        counts.mixed += answered && !isWhole(answer) ? 1 : 0;
    }
}

} // namespace

TEST_CASE("A query is answered whole from one snapshot")
{
    TestCell cell(1);
    REQUIRE(cell.becomeReady());
    const nlohmann::json answer = cell.query(0, "r-1");
    CHECK(answer["outcome"] == "answered");
    CHECK(answer["requestId"] == "r-1");
    CHECK(answer["coverage"]["shardsNeeded"] == 4);
    CHECK(answer["coverage"]["fraction"] == 1.0);
    CHECK(isWhole(answer));
    CHECK(cell.status(0)["catalogueRevision"] == 1);
}

TEST_CASE("A graceful stop under load cuts off no request that was taken")
{
    constexpr int clientCount = 8;
    TestCell cell(1);
    REQUIRE(cell.becomeReady());
    ClientCounts counts;
    std::atomic<bool> done = false;
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] { ask(cell, done, counts, client); });
    }
    while (counts.answered < 50) {
        std::this_thread::sleep_for(1ms);
    }
    cell.stop(0);
    done = true;
    for (std::thread &client : clients) {
        client.join();
    }
    CHECK(counts.answered >= 50);
    CHECK(counts.other == 0);
    CHECK(counts.mixed == 0);
    CHECK(counts.cut == 0);
}

TEST_CASE("An index version change under load mixes no answer")
{
    TestCell cell(2);
    REQUIRE(cell.becomeReady());
    ClientCounts counts;
    std::atomic<bool> done = false;
    std::thread client([&] { ask(cell, done, counts, 0); });
    for (int version = 2; version <= 4; ++version) {
        cell.controlTargets({{"action", "version"},
                             {"service", "fit"},
                             {"version", version},
                             {"shards", 4},
                             {"spreadMs", 50},
                             {"retireAfterMs", 100}});
        const int before = counts.answered;
        while (counts.answered < before + 30) {
            std::this_thread::sleep_for(1ms);
        }
    }
    done = true;
    client.join();
    CHECK(counts.mixed == 0);
    CHECK(counts.other == 0);
    CHECK(counts.cut == 0);
}
