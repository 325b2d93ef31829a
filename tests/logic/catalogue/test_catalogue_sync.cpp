#include "logic/catalogue/watcher_choice.h"
#include "tests/support/cell.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace lagoondeck;
using namespace lagoondeck::testing;
using namespace std::chrono_literals;

TEST_CASE("A change reaches all of sixty instances in under two seconds")
{
    Cell cell(1);
    cell.addNodes(60);
    REQUIRE(cell.network.runUntil([&] { return cell.allReady(); }, 5s));
    cell.network.runFor(1s);
    for (int i = 0; i < 10; ++i) {
        const CatalogueChange change = cell.change("entry-" + std::to_string(i));
        CHECK(cell.network.runUntil([&] { return cell.inForceEverywhere(change.revision); }, 2s));
    }
    CHECK_FALSE(cell.reverted);
    CHECK(cell.store.watchCount() == 3);
}

TEST_CASE("A new cell becomes ready with an empty store")
{
    Cell cell(2);
    cell.addNodes(3);
    CHECK(cell.network.runUntil([&] { return cell.allReady(); }, 3s));
}

TEST_CASE("With the store down a new instance gets the catalogue from its peers and is not ready "
          "before")
{
    Cell cell(3);
    cell.addNodes(5);
    REQUIRE(cell.network.runUntil([&] { return cell.allReady(); }, 5s));
    const CatalogueChange change = cell.change("fit");
    REQUIRE(cell.network.runUntil([&] { return cell.inForceEverywhere(change.revision); }, 2s));
    cell.store.goDown();
    const std::size_t newNode = cell.addNode();
    CHECK_FALSE(cell.network.node(newNode).catalogueSync.isReady());
    CHECK(cell.network.runUntil([&] { return cell.inForceEverywhere(change.revision); }, 3s));
    CHECK(cell.network.node(newNode).catalogue.find(EntryName("fit")) != nullptr);

    Cell alone(4);
    alone.store.goDown();
    alone.addNodes(3);
    alone.network.runFor(20s);
    CHECK_FALSE(alone.allReady());
    CHECK(alone.network.logCount(0, LogEvent::CatalogueRevised) == 0);
}

TEST_CASE("A new instance that is further behind than the log reaches gets the complete state")
{
    Cell cell(5);
    cell.addNodes(3);
    REQUIRE(cell.network.runUntil([&] { return cell.allReady(); }, 5s));
    Revision last;
    for (int i = 0; i < 300; ++i) {
        last = cell.change("entry-" + std::to_string(i % 20)).revision;
    }
    REQUIRE(cell.network.runUntil([&] { return cell.inForceEverywhere(last); }, 10s));
    cell.store.goDown();
    const std::size_t newNode = cell.addNode();
    CHECK(cell.network.runUntil([&] { return cell.inForceEverywhere(last); }, 3s));
    CHECK(cell.network.node(newNode).catalogue.entries().size() == 20);
}

TEST_CASE(
        "A store restored to an older state is logged and ignored, also after it gets new changes")
{
    Cell cell(6);
    cell.addNodes(3);
    REQUIRE(cell.network.runUntil([&] { return cell.allReady(); }, 5s));
    const FakeCatalogueStore::Saved saved = cell.store.save();
    const CatalogueChange kept = cell.change("kept");
    REQUIRE(cell.network.runUntil([&] { return cell.inForceEverywhere(kept.revision); }, 2s));
    cell.store.restore(saved);
    cell.network.runFor(10s);
    cell.change("other-1");
    cell.change("other-2");
    cell.change("other-3");
    cell.network.runFor(20s);
    std::uint64_t alarms = 0;
    for (std::size_t i = 0; i < cell.network.size(); ++i) {
        alarms += cell.network.logCount(i, LogEvent::CatalogueWentBack);
        CHECK(cell.network.node(i).catalogue.find(EntryName("kept")) != nullptr);
        CHECK(cell.network.node(i).catalogue.find(EntryName("other-3")) == nullptr);
    }
    CHECK(alarms > 0);
    CHECK_FALSE(cell.inForceEverywhere(Revision(kept.revision.value + 1)));
    CHECK_FALSE(cell.reverted);
}

TEST_CASE("A store that is down is read at a low rate and used again soon after its return")
{
    Cell cell(7);
    cell.addNodes(30);
    REQUIRE(cell.network.runUntil([&] { return cell.allReady(); }, 5s));
    cell.store.goDown();
    cell.network.runFor(5s);
    const std::uint64_t before = cell.store.reads;
    cell.network.runFor(60s);
    // Three watchers read about once per second each.
    CHECK(cell.store.reads - before < 300);
    cell.store.isAvailable = true;
    const CatalogueChange change = cell.change("fit");
    CHECK(cell.network.runUntil([&] { return cell.inForceEverywhere(change.revision); }, 2s));
}

TEST_CASE("One watcher is chosen per failure domain and the loss of another member changes none")
{
    MembershipView view;
    view.self = {InstanceId("entry-0"), "", "", FailureDomain("domain-0"), MemberStatus::Alive, 0};
    for (std::size_t i = 1; i < 60; ++i) {
        view.others.push_back({InstanceId("entry-" + std::to_string(i)), "", "",
                               FailureDomain("domain-" + std::to_string(i % 3)),
                               MemberStatus::Alive, 0});
    }
    const std::vector<InstanceId> all = chooseWatchers(view);
    CHECK(all.size() == 3);
    const auto removed = std::ranges::find_if(view.others, [&](const Member &member) {
        return std::ranges::find(all, member.id) == all.end();
    });
    view.others.erase(removed);
    CHECK(chooseWatchers(view) == all);
}

TEST_CASE("The catalogue never reverts and converges after message loss, network partitions and "
          "outages")
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto nodes = *rc::gen::inRange<std::size_t>(2, 16);
        const auto steps = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 8));
        Cell cell(seed);
        cell.addNodes(nodes);
        cell.network.runUntil([&] { return cell.allReady(); }, 5s);
        Revision last;
        for (const int step : steps) {
            switch (step) {
            case 0:
                cell.store.goDown();
                break;
            case 1:
                cell.store.isAvailable = true;
                break;
            case 2:
                cell.store.loseEvery = 3;
                break;
            case 3:
                cell.network.lossProbability = 0.3;
                break;
            case 4:
                cell.network.isPartitioned = [nodes](std::size_t from, std::size_t to) {
                    return (from < nodes / 2) != (to < nodes / 2);
                };
                break;
            case 5:
                cell.network.isPartitioned = nullptr;
                break;
            default:
                last = cell.change("entry-" + std::to_string(step)).revision;
            }
            cell.network.runUntil([&] { return cell.inForceEverywhere(Revision(1'000'000)); },
                                  700ms);
        }
        cell.store.isAvailable = true;
        cell.store.loseEvery = 0;
        cell.network.lossProbability = 0.0;
        cell.network.isPartitioned = nullptr;
        RC_ASSERT(cell.network.runUntil([&] { return cell.inForceEverywhere(last); }, 15s));
        RC_ASSERT_FALSE(cell.reverted);
    });
    CHECK(holds);
}
