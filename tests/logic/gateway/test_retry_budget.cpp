#include "logic/gateway/retry_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <vector>

using namespace lagoondeck;

namespace {

const RetryAllowance allowance {0.2, 52.0, std::chrono::seconds(10)};

/// The part of the requests at an instance that count; the rest only ask what is in force.
constexpr double countedPart = 0.96;

struct Arrival
{
    Instant at {};
    bool extra = false;
};

/// Instances that take every extra arrival they may, with requests at a rate that changes.
std::vector<Arrival> greedyFleet(std::uint32_t seed, std::size_t instances, bool restart)
{
    std::mt19937 random(seed);
    std::vector<RetryBudget> budgets(instances);
    std::vector<Arrival> arrivals;
    for (int ms = 0; ms < 40000; ms += 5) {
        const Instant now {std::chrono::milliseconds(ms)};
        if (restart && ms == 15000) {
            for (RetryBudget &budget : budgets) {
                budget = RetryBudget(now + allowance.window);
            }
        }
        const double rate = ms / 5000 % 2 == 0 ? 0.9 : 0.2;
        for (RetryBudget &budget : budgets) {
            if (std::bernoulli_distribution(rate)(random)) {
                budget.onRequest(now);
                // A few requests that reach an instance don't count for the allowance.
                if (std::bernoulli_distribution(countedPart)(random)) {
                    arrivals.push_back({now, false});
                }
            }
            while (budget.take(allowance, instances, 0.0, now)) {
                arrivals.push_back({now, true});
            }
        }
    }
    return arrivals;
}

std::size_t count(const std::vector<Arrival> &arrivals, bool extra, Instant from, Instant to)
{
    return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](const Arrival &arrival) {
        return arrival.extra == extra && arrival.at >= from && arrival.at < to;
    }));
}

void checkWindows(const std::vector<Arrival> &arrivals)
{
    const Duration window = allowance.window;
    for (int ms = 0; ms < 30000; ms += 100) {
        const Instant from {std::chrono::milliseconds(ms)};
        const std::size_t requests =
                std::max({count(arrivals, false, from, from + window),
                          count(arrivals, false, from - window, from),
                          count(arrivals, false, from - window / 2, from + window / 2)});
        const auto extras = static_cast<double>(count(arrivals, true, from, from + window));
        CHECK(extras <= allowance.ratio * static_cast<double>(requests) + allowance.slack);
    }
}

} // namespace

TEST_CASE("a greedy fleet stays within the budget in every window")
{
    for (const std::size_t instances : {1U, 6U, 8U, 20U}) {
        checkWindows(greedyFleet(11, instances, false));
    }
}

TEST_CASE("a fleet that restarts at once stays within the budget")
{
    for (const std::size_t instances : {1U, 6U, 8U}) {
        checkWindows(greedyFleet(12, instances, true));
    }
}

TEST_CASE("requests earn retries")
{
    RetryBudget budget;
    const RetryAllowance ratioOnly {0.2, 0.0, std::chrono::seconds(10)};
    const Instant now {std::chrono::seconds(1)};
    CHECK_FALSE(budget.take(ratioOnly, 1, 0.0, now));
    for (int i = 0; i < 6; ++i) {
        budget.onRequest(now);
    }
    CHECK(budget.take(ratioOnly, 1, 0.0, now));
    CHECK_FALSE(budget.take(ratioOnly, 1, 0.0, now));
}

TEST_CASE("the reserve is left to retries after failures")
{
    RetryBudget budget;
    const Instant now {std::chrono::seconds(1)};
    const RetryAllowance small {0.0, 4.0, std::chrono::seconds(10)};
    CHECK(budget.take(small, 1, 0.5, now));
    CHECK_FALSE(budget.take(small, 1, 0.5, now));
    CHECK(budget.take(small, 1, 0.0, now));
}

TEST_CASE("an instance of a large fleet has something left beyond the reserve")
{
    const RetryAllowance grown {0.2, 194.0, std::chrono::seconds(10)};
    constexpr std::size_t instances = 77;
    constexpr int requestsInWindow = 13;
    RetryBudget budget;
    const Instant now {std::chrono::seconds(1)};
    for (int i = 0; i < requestsInWindow; ++i) {
        budget.onRequest(now);
    }
    // A fifth of the requests, and its part of the slack: about four extra arrivals.
    CHECK(budget.take(grown, instances, 0.1, now));
    CHECK(budget.take(grown, instances, 0.1, now));
    CHECK(budget.take(grown, instances, 0.1, now));
}

TEST_CASE("what is lent is spent until a window after its last use")
{
    const RetryAllowance small {0.0, 20.0, std::chrono::seconds(10)};
    RetryBudget lender;
    RetryBudget borrower;
    Instant now {std::chrono::seconds(1)};
    while (borrower.take(small, 4, 0.0, now)) { }
    const std::uint32_t lent = lender.lend(small, 4, 1, now);
    REQUIRE(lent == 1);
    borrower.borrow(lent, now + RetryBudget::loanTime);
    SECTION("the borrower uses it once")
    {
        CHECK(borrower.take(small, 4, 0.0, now));
        CHECK_FALSE(borrower.take(small, 4, 0.0, now));
    }
    SECTION("it can't be used later")
    {
        CHECK_FALSE(borrower.take(small, 4, 0.0, now + RetryBudget::loanTime));
    }
    SECTION("the lender has it back a window after that")
    {
        std::uint32_t kept = 0;
        const Instant lastCounted = now + RetryBudget::loanTime + small.window;
        while (lender.take(small, 4, 0.0, lastCounted)) {
            ++kept;
        }
        RetryBudget whole;
        std::uint32_t all = 0;
        while (whole.take(small, 4, 0.0, now)) {
            ++all;
        }
        CHECK(kept + lent == all);
        CHECK(lender.take(small, 4, 0.0, lastCounted + std::chrono::milliseconds(300)));
    }
}

TEST_CASE("a greedy fleet that lends and borrows stays within the budget in every window")
{
    rc::prop("whoever lends to whom", [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        constexpr std::size_t instances = 6;
        std::vector<RetryBudget> budgets(instances);
        std::vector<Arrival> arrivals;
        std::uniform_int_distribution<std::size_t> any(0, instances - 1);
        for (int ms = 0; ms < 40000; ms += 20) {
            const Instant now {std::chrono::milliseconds(ms)};
            const std::size_t busy = static_cast<std::size_t>(ms / 4000) % instances;
            if (std::bernoulli_distribution(0.8)(random)) {
                const std::size_t at = any(random);
                budgets[at].onRequest(now);
                arrivals.push_back({now, false});
            }
            const std::size_t lender = any(random);
            if (lender != busy) {
                budgets[busy].borrow(budgets[lender].lend(allowance, instances, 2, now),
                                     now + RetryBudget::loanTime);
            }
            while (budgets[busy].take(allowance, instances, 0.0, now)) {
                arrivals.push_back({now, true});
            }
        }
        checkWindows(arrivals);
    });
}
