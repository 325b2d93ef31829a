// Shows for patterns of load who is served in time, compared with a queue that is first in first
// out. The group serves 200 requests a second: 10 at once, 50 ms each.

#include "queue_simulation.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;
using namespace lagoondeck::workloadtest;

namespace {

using std::chrono::seconds;

/// Ten accounts with one caller each, which together need 80% of the capacity.
std::vector<SimulatedCaller> tenAccounts()
{
    std::vector<SimulatedCaller> callers;
    for (int i = 0; i < 10; ++i) {
        callers.push_back(
                {{0, "account" + std::to_string(i), "host" + std::to_string(i)}, steady(16.0)});
    }
    return callers;
}

template <typename Queue>
QueueSimulation<Queue> simulate(const std::vector<SimulatedCaller> &callers, Duration until,
                                typename QueueSimulation<Queue>::Options options = {})
{
    QueueSimulation<Queue> simulation(callers, std::move(options));
    simulation.run(until);
    return simulation;
}

bool isAccount0(const SimulatedCaller &caller)
{
    return caller.sender.account == "account0";
}

bool isOther(const SimulatedCaller &caller)
{
    return !isAccount0(caller);
}

bool isAny(const SimulatedCaller &)
{
    return true;
}

} // namespace

// Guards against an account that displaces the requests of the others by sending more.
TEST_CASE("an account at eight times its usual load costs the others nothing")
{
    std::vector<SimulatedCaller> callers = tenAccounts();
    callers[0].rate = surging(16.0, 8.0, seconds(2), seconds(22));
    const auto fair = simulate<Fair>(callers, seconds(23));
    const auto fifo = simulate<FirstInFirstOut>(callers, seconds(23));
    const double all = fair.result(isAny, seconds(3), seconds(22)).share();
    const double heavy = fair.result(isAccount0, seconds(3), seconds(22)).share();
    const double others = fair.result(isOther, seconds(3), seconds(22)).share();
    const double othersFifo = fifo.result(isOther, seconds(3), seconds(22)).share();
    CAPTURE(all, heavy, others, othersFifo, fifo.result(isAny, seconds(3), seconds(22)).share());
    CHECK(others > 0.98);
    CHECK(othersFifo < 0.8);
    CHECK(heavy >= all / 4);
}

// Guards against a caller that displaces the other callers of its account by repeating requests.
TEST_CASE("a caller that repeats at once costs the other callers of its account nothing")
{
    std::vector<SimulatedCaller> callers = tenAccounts();
    for (SimulatedCaller &caller : callers) {
        caller.sender.account = "one";
    }
    callers[0].rate = surging(16.0, 8.0, seconds(2), seconds(22));
    callers[0].repeats = 20;
    callers[0].repeatsAtOnce = true;
    const auto isRepeating = [](const SimulatedCaller &caller) { return caller.repeatsAtOnce; };
    const auto isUsual = [](const SimulatedCaller &caller) { return !caller.repeatsAtOnce; };
    const auto fair = simulate<Fair>(callers, seconds(23));
    const auto fifo = simulate<FirstInFirstOut>(callers, seconds(23));
    const double others = fair.result(isUsual, seconds(3), seconds(22)).share();
    const double othersFifo = fifo.result(isUsual, seconds(3), seconds(22)).share();
    CAPTURE(others, othersFifo, fair.result(isRepeating, seconds(3), seconds(22)).share());
    CHECK(others > 0.98);
    CHECK(othersFifo < 0.6);
}

// Guards against a guarantee that grows with the number of repetitions.
TEST_CASE("an account that floods the queue costs the others nothing")
{
    std::vector<SimulatedCaller> callers = tenAccounts();
    for (SimulatedCaller &caller : callers) {
        caller.rate = steady(14.0);
    }
    callers[0].rate = steady(600.0);
    callers[0].repeats = 5;
    callers[0].repeatsAtOnce = true;
    const auto fair = simulate<Fair>(callers, seconds(12));
    const auto fifo = simulate<FirstInFirstOut>(callers, seconds(12));
    const double others = fair.result(isOther, seconds(1), seconds(11)).share();
    const double othersFifo = fifo.result(isOther, seconds(1), seconds(11)).share();
    CAPTURE(others, othersFifo, fair.result(isAccount0, seconds(1), seconds(11)).share());
    CHECK(others > 0.98);
    CHECK(othersFifo < 0.5);
}

// Guards against a less urgent priority that is not served at all, and against one that delays a
// more urgent one.
TEST_CASE("a surge of one priority neither starves nor displaces the other")
{
    std::vector<SimulatedCaller> callers = tenAccounts();
    for (std::size_t i = 5; i < callers.size(); ++i) {
        callers[i].sender.urgencyRank = 1;
    }
    const auto isUrgent = [](const SimulatedCaller &caller) {
        return caller.sender.urgencyRank == 0;
    };
    const auto isLessUrgent = [](const SimulatedCaller &caller) {
        return caller.sender.urgencyRank == 1;
    };
    SECTION("the more urgent one grows")
    {
        for (std::size_t i = 0; i < 5; ++i) {
            callers[i].rate = surging(16.0, 5.0, seconds(2), seconds(32));
        }
        for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
            QueueSimulation<Fair>::Options options;
            options.seed = seed;
            const auto fair = simulate<Fair>(callers, seconds(33), options);
            const double all = fair.result(isAny, seconds(4), seconds(32)).share();
            const double low = fair.result(isLessUrgent, seconds(4), seconds(32)).share();
            CAPTURE(seed, all, low);
            CHECK(low >= all / 4);
            CHECK(low < all);
        }
    }
    SECTION("the less urgent one grows")
    {
        for (std::size_t i = 5; i < callers.size(); ++i) {
            callers[i].rate = surging(16.0, 8.0, seconds(2), seconds(22));
        }
        const auto fair = simulate<Fair>(callers, seconds(23));
        const auto fifo = simulate<FirstInFirstOut>(callers, seconds(23));
        const double high = fair.result(isUrgent, seconds(3), seconds(22)).share();
        const double highFifo = fifo.result(isUrgent, seconds(3), seconds(22)).share();
        CAPTURE(high, highFifo);
        CHECK(high > 0.98);
        CHECK(highFifo < 0.5);
    }
}

// Guards against a queue that wastes capacity or favours accounts when targets fail.
TEST_CASE("a third of the capacity is used in full and divided equally")
{
    const std::vector<SimulatedCaller> callers = tenAccounts();
    const auto slots = [](Duration at) { return std::size_t {at < seconds(2) ? 10U : 3U}; };
    QueueSimulation<Fair>::Options options;
    options.slots = slots;
    QueueSimulation<FirstInFirstOut>::Options fifoOptions;
    fifoOptions.slots = slots;
    const auto fair = simulate<Fair>(callers, seconds(33), options);
    const auto fifo = simulate<FirstInFirstOut>(callers, seconds(33), fifoOptions);
    const SimulatedResult all = fair.result(isAny, seconds(3), seconds(32));
    const SimulatedResult allFifo = fifo.result(isAny, seconds(3), seconds(32));
    CAPTURE(all.share(), allFifo.share(), fair.refusedAtOnce());
    CHECK(all.share() > 0.98 * allFifo.share());
    CHECK(fair.refusedAtOnce() > 0);
    for (const SimulatedCaller &caller : callers) {
        const double share = fair.result(
                                         [&](const SimulatedCaller &other) {
                                             return other.sender.account == caller.sender.account;
                                         },
                                         seconds(3), seconds(32))
                                     .share();
        CAPTURE(caller.sender.account, share);
        CHECK(share > 0.8 * all.share());
        CHECK(share < 1.2 * all.share());
    }
}

// Guards against repetitions that keep the queue full after the surge that caused them.
TEST_CASE("callers that repeat at once and often don't prolong their surge")
{
    std::vector<SimulatedCaller> callers = tenAccounts();
    for (std::size_t i = 0; i < 5; ++i) {
        callers[i].rate = surging(16.0, 3.0, seconds(2), seconds(12));
        callers[i].repeats = 30;
        callers[i].repeatsAtOnce = true;
    }
    const auto isRepeating = [](const SimulatedCaller &caller) { return caller.repeatsAtOnce; };
    const auto isUsual = [](const SimulatedCaller &caller) { return !caller.repeatsAtOnce; };
    auto fair = simulate<Fair>(callers, seconds(14));
    auto fifo = simulate<FirstInFirstOut>(callers, seconds(14));
    CHECK(fair.waiting() < 20);
    fair.run(seconds(22));
    fifo.run(seconds(22));
    const double during = fair.result(isUsual, seconds(3), seconds(12)).share();
    const double duringFifo = fifo.result(isUsual, seconds(3), seconds(12)).share();
    const double after = fair.result(isAny, seconds(13), seconds(21)).share();
    const double afterFifo = fifo.result(isAny, seconds(13), seconds(21)).share();
    CAPTURE(during, duringFifo, after, afterFifo,
            fair.result(isRepeating, seconds(3), seconds(12)).share());
    // Their share is just 1.25 times what they need, and they send at random times.
    CHECK(during > 0.97);
    CHECK(duringFifo < 0.2);
    CHECK(after > 0.98);
}

// Guards against losses that the order causes although all requests could be served. First in first
// out serves the most here; turns let some parts expire while younger ones of others are sent.
TEST_CASE("at nine tenths of the capacity the order costs less than 1.5% of the requests")
{
    std::vector<SimulatedCaller> callers = tenAccounts();
    for (SimulatedCaller &caller : callers) {
        caller.rate = steady(18.0);
    }
    for (const std::uint64_t seed : {11U, 12U, 13U, 14U, 20261206U}) {
        QueueSimulation<Fair>::Options options;
        options.seed = seed;
        QueueSimulation<FirstInFirstOut>::Options fifoOptions;
        fifoOptions.seed = seed;
        const auto fair = simulate<Fair>(callers, seconds(60), options);
        const auto fifo = simulate<FirstInFirstOut>(callers, seconds(60), fifoOptions);
        const double served = fair.result(isAny, seconds(0), seconds(59)).share();
        const double servedFifo = fifo.result(isAny, seconds(0), seconds(59)).share();
        CAPTURE(seed, served, servedFifo, fair.refusedAtOnce());
        CHECK(fair.refusedAtOnce() < 5);
        CHECK(served > servedFifo - 0.015);
    }
}
