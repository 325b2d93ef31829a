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

/// The fraction of an instance's requests that count for the allowance; the rest only query the
/// configuration in force.
constexpr double countedFraction = 0.96;

/// A first (`extra` is false) or an extra arrival at the group.
struct Arrival
{
    Instant at {};
    bool extra = false;
};

/// Simulates instances that spend every allowed extra arrival while the request rate changes. With
/// `restart`, all instances restart after 15 seconds.
std::vector<Arrival> simulateGreedyFleet(std::uint32_t seed, std::size_t instances, bool restart)
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
                // A few requests at an instance don't count for the allowance.
                if (std::bernoulli_distribution(countedFraction)(random)) {
                    arrivals.push_back({now, false});
                }
            }
            while (budget.trySpend(allowance, instances, 0.0, now)) {
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

/// Checks that the extra arrivals in every window stay within the allowance.
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

TEST_CASE("instances that spend their whole budget stay within the fleet's allowance")
{
    for (const std::size_t instances : {1U, 6U, 8U, 20U}) {
        checkWindows(simulateGreedyFleet(11, instances, false));
    }
}

TEST_CASE("a fleet whose instances all restart at once stays within the allowance")
{
    for (const std::size_t instances : {1U, 6U, 8U}) {
        checkWindows(simulateGreedyFleet(12, instances, true));
    }
}

TEST_CASE("requests add to the retry budget")
{
    RetryBudget budget;
    const RetryAllowance ratioOnly {0.2, 0.0, std::chrono::seconds(10)};
    const Instant now {std::chrono::seconds(1)};
    CHECK_FALSE(budget.trySpend(ratioOnly, 1, 0.0, now));
    for (int i = 0; i < 6; ++i) {
        budget.onRequest(now);
    }
    CHECK(budget.trySpend(ratioOnly, 1, 0.0, now));
    CHECK_FALSE(budget.trySpend(ratioOnly, 1, 0.0, now));
}

TEST_CASE("hedges leave the reserved fraction to retries after failures")
{
    RetryBudget budget;
    const Instant now {std::chrono::seconds(1)};
    const RetryAllowance slackOnly {0.0, 4.0, std::chrono::seconds(10)};
    CHECK(budget.trySpend(slackOnly, 1, 0.5, now));
    CHECK_FALSE(budget.trySpend(slackOnly, 1, 0.5, now));
    CHECK(budget.trySpend(slackOnly, 1, 0.0, now));
}

TEST_CASE("an instance of a large fleet can hedge with its small share of the slack")
{
    const RetryAllowance largeFleetAllowance {0.2, 194.0, std::chrono::seconds(10)};
    constexpr std::size_t instances = 77;
    constexpr int requestsInWindow = 13;
    RetryBudget budget;
    const Instant now {std::chrono::seconds(1)};
    for (int i = 0; i < requestsInWindow; ++i) {
        budget.onRequest(now);
    }
    // A fifth of the requests plus the share of the slack is about four extra arrivals.
    CHECK(budget.trySpend(largeFleetAllowance, instances, 0.1, now));
    CHECK(budget.trySpend(largeFleetAllowance, instances, 0.1, now));
    CHECK(budget.trySpend(largeFleetAllowance, instances, 0.1, now));
}

TEST_CASE("a loan counts as spent by the lender until one window after its last use")
{
    const RetryAllowance slackOnly {0.0, 20.0, std::chrono::seconds(10)};
    RetryBudget lender;
    RetryBudget borrower;
    Instant now {std::chrono::seconds(1)};
    while (borrower.trySpend(slackOnly, 4, 0.0, now)) { }
    const std::uint32_t lent = lender.lend(slackOnly, 4, 1, now);
    REQUIRE(lent == 1);
    borrower.borrow(lent, now + RetryBudget::loanLifetime);
    SECTION("the borrower spends it once")
    {
        CHECK(borrower.trySpend(slackOnly, 4, 0.0, now));
        CHECK_FALSE(borrower.trySpend(slackOnly, 4, 0.0, now));
    }
    SECTION("it can't be spent after it expired")
    {
        CHECK_FALSE(borrower.trySpend(slackOnly, 4, 0.0, now + RetryBudget::loanLifetime));
    }
    SECTION("the lender gets it back one window after its expiry")
    {
        std::uint32_t spentByLender = 0;
        const Instant lastCounted = now + RetryBudget::loanLifetime + slackOnly.window;
        while (lender.trySpend(slackOnly, 4, 0.0, lastCounted)) {
            ++spentByLender;
        }
        RetryBudget nonLender;
        std::uint32_t wholeAllowance = 0;
        while (nonLender.trySpend(slackOnly, 4, 0.0, now)) {
            ++wholeAllowance;
        }
        CHECK(spentByLender + lent == wholeAllowance);
        CHECK(lender.trySpend(slackOnly, 4, 0.0, lastCounted + std::chrono::milliseconds(300)));
    }
}

TEST_CASE("instances that lend and borrow stay within the fleet's allowance")
{
    rc::prop("for any lenders and borrowers", [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        constexpr std::size_t instances = 6;
        std::vector<RetryBudget> budgets(instances);
        std::vector<Arrival> arrivals;
        std::uniform_int_distribution<std::size_t> randomInstance(0, instances - 1);
        for (int ms = 0; ms < 40000; ms += 20) {
            const Instant now {std::chrono::milliseconds(ms)};
            const std::size_t busy = static_cast<std::size_t>(ms / 4000) % instances;
            if (std::bernoulli_distribution(0.8)(random)) {
                const std::size_t at = randomInstance(random);
                budgets[at].onRequest(now);
                arrivals.push_back({now, false});
            }
            const std::size_t lender = randomInstance(random);
            if (lender != busy) {
                budgets[busy].borrow(budgets[lender].lend(allowance, instances, 2, now),
                                     now + RetryBudget::loanLifetime);
            }
            while (budgets[busy].trySpend(allowance, instances, 0.0, now)) {
                arrivals.push_back({now, true});
            }
        }
        checkWindows(arrivals);
    });
}
