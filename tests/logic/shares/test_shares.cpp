#include "logic/shares/demand_table.h"
#include "logic/shares/share_division.h"
#include "logic/shares/sliding_window_minimum.h"
#include "proto/peer.pb.h"
#include "tests/support/cell.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace lagoondeck;
using namespace lagoondeck::testing;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 1000.0;
const EntryName entryName("fit");

/// A cell whose instances receive load. Each instance admits as much as its share allows.
class LoadedCell
{
public:
    LoadedCell(std::uint64_t seed, std::size_t nodes) : cell(seed), offered(nodes, 0.0)
    {
        this->cell.addNodes(nodes);
        this->cell.network.runUntil([&] { return this->cell.allReady(); }, 5s);
        this->cell.change(entryName.value, limit);
        this->cell.network.runFor(5s);
    }

    /// Runs for the given time and returns the largest sum of admitted rates.
    double run(Duration duration)
    {
        double largest = 0.0;
        for (Duration passed {}; passed < duration; passed += step) {
            this->cell.network.runFor(step);
            largest = std::max(largest, this->admitted());
        }
        return largest;
    }

    double admitted()
    {
        double sum = 0.0;
        for (std::size_t i = 0; i < this->offered.size(); ++i) {
            if (this->cell.network.isAlive(i)) {
                Shares &shares = this->cell.network.node(i).shares;
                shares.setDemand(entryName, this->offered[i], this->offered[i] / 20.0);
                sum += std::min(this->offered[i], shares.rateShare(entryName));
            }
        }
        return sum;
    }

    Cell cell;
    std::vector<double> offered;

private:
    static constexpr Duration step = std::chrono::milliseconds(50);
};

} // namespace

TEST_CASE("A limit is divided by demand and the parts add up to it")
{
    CHECK(divideLimit(80, {80, 10, 10, 10}) == std::vector<double> {50, 10, 10, 10});
    CHECK(divideLimit(100, {10, 20, 30, 0}) == std::vector<double> {20, 30, 40, 10});
    const bool holds = rc::check([] {
        auto demands = *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(
                rc::gen::map(rc::gen::inRange(0, 1000), [](int value) { return value / 10.0; })));
        const double whole = *rc::gen::inRange(0, 500);
        const std::vector<double> parts = divideLimit(whole, demands);
        const double sum = std::accumulate(parts.begin(), parts.end(), 0.0);
        RC_ASSERT(std::abs(sum - whole) < 1e-6);
        const double smallest = *std::ranges::min_element(parts);
        for (std::size_t i = 0; i < parts.size(); ++i) {
            // Each member gets its demand or at least an equal part of the limit.
            RC_ASSERT(parts[i] >= std::min(demands[i], whole / demands.size()) - 1e-6);
        }
        RC_ASSERT(smallest >= 0.0);
    });
    CHECK(holds);
}

TEST_CASE("A sliding window minimum shrinks at once and grows only after the window")
{
    SlidingWindowMinimum minimum;
    const Instant start(1000s);
    minimum.set(10, start, 2s);
    minimum.set(4, start + 1s, 2s);
    CHECK(minimum.get() == 4);
    for (int tenth = 0; tenth < 19; ++tenth) {
        minimum.set(tenth % 2 == 0 ? 9 : 8, start + 1100ms + tenth * 100ms, 2s);
        CHECK(minimum.get() == 4);
    }
    minimum.set(9, start + 3100ms, 2s);
    CHECK(minimum.get() == 8);
}

TEST_CASE("A demand table survives a peer message, and one with mismatched sizes is ignored")
{
    DemandTable table;
    const Instant now(1000s);
    const auto one = DemandTable::hashOf(InstanceId("one"));
    const auto two = DemandTable::hashOf(InstanceId("two"));
    table.setLocalRecord(one, {{entryName, {12.5, 3}}}, 5, now);
    proto::DemandTable message;
    table.write(message);
    DemandTable other;
    other.merge(message, two, now);
    CHECK(other.demandOf(one, entryName) == Demand {12.5, 3});
    CHECK(other.lastHeardAt(one) == now);
    other.merge(message, two, now + 1s);
    CHECK(other.lastHeardAt(one) == now);
    message.add_members(7);
    DemandTable third;
    third.merge(message, two, now);
    CHECK_FALSE(third.lastHeardAt(one).has_value());
}

TEST_CASE("With even load nearly the whole limit is used and exceeded by at most a tenth")
{
    LoadedCell loaded(31, 8);
    loaded.offered.assign(8, 200.0);
    CHECK(loaded.run(10s) <= 1.1 * limit);
    CHECK(loaded.admitted() >= 0.99 * limit);
}

TEST_CASE("The limit is used when one instance has eight times the load of the others")
{
    for (const std::size_t nodes : {6, 8, 30}) {
        for (const double total : {1.0, 1.5, 4.0}) {
            LoadedCell loaded(32, nodes);
            const double unit = total * limit / (static_cast<double>(nodes) + 7.0);
            loaded.offered.assign(nodes, unit);
            loaded.offered[0] = 8.0 * unit;
            loaded.run(10s);
            CAPTURE(nodes, total);
            CHECK(loaded.admitted() >= 0.9 * limit);
            CHECK(loaded.admitted() <= 1.0001 * limit);
        }
    }
}

TEST_CASE("Sixty instances that exchange the demand for four entries stay within the bandwidth "
          "budget")
{
    Cell cell(35);
    cell.addNodes(60);
    cell.network.runUntil([&] { return cell.allReady(); }, 5s);
    for (int entry = 0; entry < 4; ++entry) {
        cell.change("entry-" + std::to_string(entry));
    }
    cell.network.runFor(5s);
    for (std::size_t i = 0; i < 60; ++i) {
        for (int entry = 0; entry < 4; ++entry) {
            cell.network.node(i).shares.setDemand(EntryName("entry-" + std::to_string(entry)),
                                                  500.0, 20.0);
        }
    }
    cell.network.runFor(60s);
    // Each byte sent is also received by an instance, so the total traffic is twice the bytes sent.
    CHECK(2.0 * cell.bytesPerSecond(20s) < 25'000.0);
}

TEST_CASE("Load that moves from instance to instance exceeds the limit by at most a tenth")
{
    LoadedCell loaded(33, 8);
    double largest = 0.0;
    for (std::size_t hot = 0; hot < 8; ++hot) {
        loaded.offered.assign(8, 30.0);
        loaded.offered[hot] = 5000.0;
        largest = std::max(largest, loaded.run(std::chrono::milliseconds(900 + 700 * hot)));
    }
    CHECK(largest <= 1.1 * limit);
}

TEST_CASE("A killed member keeps its share while the platform lists it, and the others use it "
          "afterwards")
{
    LoadedCell loaded(34, 8);
    loaded.offered.assign(8, 300.0);
    loaded.run(5s);
    loaded.cell.instanceListAvailable = false;
    loaded.cell.network.kill(3);
    CHECK(loaded.run(20s) <= 1.1 * limit);
    CHECK(loaded.admitted() >= 0.87 * limit);
    loaded.cell.instanceListAvailable = true;
    loaded.run(10s);
    CHECK(loaded.admitted() >= 0.99 * limit);
}

TEST_CASE("Load changes, partitions, pauses and message loss exceed the limit by at most a tenth")
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto nodes = *rc::gen::inRange<std::size_t>(2, 14);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                8, rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 100)));
        LoadedCell loaded(seed, nodes);
        loaded.offered.assign(nodes, limit / static_cast<double>(nodes));
        double largest = loaded.run(3s);
        for (const auto &[step, number] : steps) {
            const std::size_t which = static_cast<std::size_t>(number) % nodes;
            switch (step) {
            case 0:
                loaded.offered[which] = 40.0 * number;
                break;
            case 1:
                loaded.cell.network.isPartitioned = [which](std::size_t from, std::size_t to) {
                    return (from <= which) != (to <= which);
                };
                break;
            case 2:
                loaded.cell.network.isPartitioned = nullptr;
                break;
            case 3:
                loaded.cell.network.pause(which);
                break;
            case 4:
                loaded.cell.network.resume(which);
                break;
            default:
                loaded.cell.network.lossProbability = number / 500.0;
            }
            largest = std::max(largest, loaded.run(std::chrono::milliseconds(300 + 20 * number)));
        }
        RC_ASSERT(largest <= 1.1 * limit);
    });
    CHECK(holds);
}
