#include "logic/admission/caller_shares.h"
#include "logic/admission/max_min_fair_share.h"
#include "logic/admission/service_load.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <numeric>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

TEST_CASE("Small demands are met in full and large ones share the rest")
{
    CHECK(maxMinFairShare({10.0, 100.0, 100.0}, 90.0) == Approx(40.0));
    CHECK(std::isinf(maxMinFairShare({1.0, 2.0}, 10.0)));
    CHECK(std::isinf(maxMinFairShare({}, 10.0)));
}

TEST_CASE("A fair division uses the smaller of the capacity and the total demand")
{
    const bool holds = rc::check("max-min", [] {
        std::vector<double> demands;
        const auto count = *rc::gen::inRange<std::size_t>(1, 20);
        for (std::size_t i = 0; i < count; ++i) {
            demands.push_back(*rc::gen::inRange(0, 1000));
        }
        const double capacity = *rc::gen::inRange(1, 5000);
        const double share = maxMinFairShare(demands, capacity);
        const double sum = std::accumulate(
                demands.begin(), demands.end(), 0.0,
                [&](double subtotal, double each) { return subtotal + std::min(each, share); });
        const double all = std::accumulate(demands.begin(), demands.end(), 0.0);
        RC_ASSERT(std::abs(sum - std::min(all, capacity)) < 1e-6);
    });
    CHECK(holds);
}

TEST_CASE("A caller with most of the load is limited to its fair share, a small caller is not")
{
    CallerShares shares;
    Instant now {1s};
    std::map<std::string, int> under;
    for (int i = 0; i < 3000; ++i) {
        now += 5ms;
        const CallerName caller(i % 10 == 0 ? "small" : "large");
        shares.onOffered(caller, now);
        // About a third of the large caller's queries can be served.
        const bool fits = shares.isWithinShare(caller, now);
        under[caller.value] += fits ? 1 : 0;
        if (fits && (caller.value == "small" || i % 3 == 0)) {
            shares.onAdmitted(caller, now);
        }
    }
    CHECK(under["small"] == 300);
    CHECK(under["large"] < 2700);
}

TEST_CASE("Many invented caller names use bounded memory")
{
    CallerShares shares;
    Instant now {1s};
    for (int i = 0; i < 5000; ++i) {
        shares.onOffered(CallerName(std::to_string(i)), now);
    }
    CHECK(shares.size() <= 513);
}

TEST_CASE("A lower priority is never admitted where a higher one is refused")
{
    const bool holds = rc::check("priorities", [] {
        ServiceLoad load;
        RandomEngine random(1);
        Instant now {1s};
        for (int step = 0; step < 200; ++step) {
            now += 1ms * *rc::gen::inRange(0, 30);
            const auto priority = *rc::gen::inRange(0U, 4U);
            load.onOffered(priority, now);
            if (*rc::gen::inRange(0, 2) == 0) {
                load.onAdmitted(priority);
            } else if (*rc::gen::inRange(0, 2) == 0) {
                load.onMissed(priority);
            } else {
                load.onAnswered(priority, 1ms * *rc::gen::inRange(1, 200), 150ms, now);
            }
            for (std::uint32_t higher = 0; higher + 1 < 4; ++higher) {
                RandomEngine same(step);
                const bool highFits = load.allows(higher, now, same);
                same.seed(step);
                const bool lowFits = load.allows(higher + 1, now, same);
                RC_ASSERT(highFits || !lowFits);
            }
        }
    });
    CHECK(holds);
}
