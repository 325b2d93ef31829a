#include "logic/selection/replica_choice.h"

#include "logic/selection/target_state.h"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

constexpr Instant now {100s};

struct Replicas
{
    explicit Replicas(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->states.push_back(std::make_unique<TargetState>());
            this->states.back()->info.slots = 2;
            this->states.back()->latency.restart(20ms, now);
            this->candidates.push_back(this->states.back().get());
        }
    }

    std::vector<int> choose(int times)
    {
        std::vector<int> counts(this->states.size());
        for (int i = 0; i < times; ++i) {
            const TargetState *chosen = &chooseReplica(this->candidates, now, this->random);
            for (std::size_t each = 0; each < this->states.size(); ++each) {
                counts[each] += this->states[each].get() == chosen ? 1 : 0;
            }
        }
        return counts;
    }

    std::vector<std::unique_ptr<TargetState>> states;
    std::vector<TargetState *> candidates;
    RandomEngine random {11};
};

} // namespace

TEST_CASE("A replica with more sub-requests in flight gets fewer new ones")
{
    Replicas replicas(3);
    replicas.states[0]->inFlight = 2;
    const auto counts = replicas.choose(300);
    CHECK(counts[0] == 0);
    CHECK(counts[1] > 90);
    CHECK(counts[2] > 90);
}

TEST_CASE("A wrong report weighs less than one sub-request of this instance")
{
    Replicas replicas(2);
    replicas.states[0]->reportedAt = now;
    replicas.states[0]->report.inFlight = 1000;
    replicas.states[1]->inFlight = 1;
    CHECK(replicas.choose(50)[0] == 50);
}

TEST_CASE("The load in an old report is ignored")
{
    Replicas replicas(2);
    replicas.states[0]->reportedAt = now - 1s;
    replicas.states[0]->report.inFlight = 1000;
    CHECK(costOf(*replicas.states[0], 20ms, now) == costOf(*replicas.states[1], 20ms, now));
}

TEST_CASE("A cold replica gets a small fraction of the load")
{
    Replicas replicas(3);
    replicas.states[0]->report.cold = true;
    const auto counts = replicas.choose(3000);
    CHECK(counts[0] > 20);
    CHECK(counts[0] < 400);
}

TEST_CASE("An overdue answer raises the cost of its target before it arrives")
{
    Replicas replicas(2);
    replicas.states[0]->connections.push_back(
            {ConnectionId(1), ConnectionUse::SubRequest, now - 1s});
    CHECK(costOf(*replicas.states[0], 20ms, now) > 10 * costOf(*replicas.states[1], 20ms, now));
}

TEST_CASE("A high latency decays towards the reference while there are no new samples")
{
    LatencyEstimate estimate;
    estimate.restart(200ms, now);
    CHECK(estimate.expected(20ms, now) == 200ms);
    CHECK(estimate.expected(20ms, now + 20s) < 21ms);
}

TEST_CASE("The replica of the highest cost is never chosen")
{
    const bool holds = rc::check("two choices", [] {
        const auto count = *rc::gen::inRange<std::size_t>(2, 7);
        Replicas replicas(count);
        for (auto &state : replicas.states) {
            state->latency.restart(1ms * *rc::gen::inRange(1, 200), now);
            state->inFlight = *rc::gen::inRange(0U, 4U);
        }
        Duration reference = Duration::max();
        for (const auto &state : replicas.states) {
            reference = std::min(reference, state->latency.mean());
        }
        double highestCost = 0.0;
        double lowestCost = 1e18;
        for (const auto &state : replicas.states) {
            highestCost = std::max(highestCost, costOf(*state, reference, now));
            lowestCost = std::min(lowestCost, costOf(*state, reference, now));
        }
        const TargetState &chosen = chooseReplica(replicas.candidates, now, replicas.random);
        RC_ASSERT(lowestCost == highestCost || costOf(chosen, reference, now) < highestCost
                  || std::ranges::count_if(replicas.states, [&](const auto &state) {
                         return costOf(*state, reference, now) == highestCost;
                     }) > 1);
    });
    CHECK(holds);
}
