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

/// Results of clients that send requests to an entry instance one after another.
struct ClientCounts
{
    std::atomic<int> answered {0};
    std::atomic<int> notRun {0};
    std::atomic<int> other {0};
    std::atomic<int> withoutReply {0};
    std::atomic<int> mixedSnapshots {0};
};

bool isConsistent(const nlohmann::json &answer)
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

/// Sends queries until done is set or the entry instance is no longer ready.
void runClient(const TestCell &cell, const std::atomic<bool> &done, ClientCounts &counts,
               int client)
{
    for (int i = 0; !done && cell.isReady(0); ++i) {
        const std::string id = std::to_string(client) + "-" + std::to_string(i);
        const nlohmann::json answer = cell.query(0, id);
        if (!answer.is_object()) {
            ++counts.withoutReply;
            return;
        }
        const std::string outcome = answer.value("outcome", "");
        const bool answered = outcome == "answered";
        ++(answered ? counts.answered : outcome == "not-run" ? counts.notRun : counts.other);
        counts.mixedSnapshots += answered && !isConsistent(answer) ? 1 : 0;
    }
}

} // namespace

TEST_CASE("All parts of an answer come from one snapshot")
{
    TestCell cell(1);
    REQUIRE(cell.waitUntilReady());
    const nlohmann::json answer = cell.query(0, "r-1");
    CHECK(answer["outcome"] == "answered");
    CHECK(answer["requestId"] == "r-1");
    CHECK(answer["coverage"]["shardsNeeded"] == 4);
    CHECK(answer["coverage"]["fraction"] == 1.0);
    CHECK(isConsistent(answer));
    CHECK(cell.status(0)["catalogueRevision"] == 1);
}

TEST_CASE("A graceful stop under load answers every accepted request")
{
    constexpr int clientCount = 8;
    TestCell cell(1);
    REQUIRE(cell.waitUntilReady());
    ClientCounts counts;
    std::atomic<bool> done = false;
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] { runClient(cell, done, counts, client); });
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
    CHECK(counts.mixedSnapshots == 0);
    CHECK(counts.withoutReply == 0);
}

TEST_CASE("An index version change under load never mixes snapshots in an answer")
{
    TestCell cell(2);
    REQUIRE(cell.waitUntilReady());
    ClientCounts counts;
    std::atomic<bool> done = false;
    std::thread client([&] { runClient(cell, done, counts, 0); });
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
    CHECK(counts.mixedSnapshots == 0);
    CHECK(counts.other == 0);
    CHECK(counts.withoutReply == 0);
}
