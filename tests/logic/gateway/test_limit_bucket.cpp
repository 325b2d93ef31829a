#include "logic/gateway/limit_bucket.h"
#include "logic/gateway/limit_holders.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

using namespace lagoondeck;
using std::chrono::milliseconds;

namespace {

std::vector<MemberRecord> members(std::size_t count)
{
    std::vector<MemberRecord> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({InstanceId("n" + std::to_string(i)), "10.0.0.1:1", FailureDomain("d"), 0});
    }
    return all;
}

bool contains(const std::vector<MemberRecord> &all, const MemberRecord &member)
{
    return std::ranges::find(all, member) != all.end();
}

} // namespace

TEST_CASE("a bucket lets through its rate and at most its capacity at once")
{
    rc::prop("for any rates and demands", [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        const double rate = std::uniform_real_distribution<double>(0.3, 40.0)(random);
        const double demand = std::uniform_real_distribution<double>(0.1, 200.0)(random);
        LimitBucket bucket;
        Instant now {std::chrono::seconds(1)};
        const Instant start = now;
        const double capacity = std::max(rate, 1.0);
        bucket.setShare(rate, capacity, now);
        std::uint32_t sent = 0;
        std::exponential_distribution<double> gap(demand);
        while (now - start < std::chrono::seconds(30)) {
            now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            if (bucket.allows(0.0, now)) {
                bucket.spend(now);
                ++sent;
            }
            const std::chrono::duration<double> elapsed = now - start;
            RC_ASSERT(sent <= rate * elapsed.count() + capacity);
        }
    });
}

TEST_CASE("a bucket without a rate lets nothing through")
{
    LimitBucket bucket;
    bucket.setShare(0.0, 0.0, Instant(std::chrono::seconds(1)));
    CHECK_FALSE(bucket.allows(0.0, Instant(std::chrono::hours(1))));
}

// Guards against a burst after a limit that ends and begins again.
TEST_CASE("a bucket keeps its tokens when its rate changes")
{
    LimitBucket bucket;
    Instant now {std::chrono::seconds(1)};
    bucket.setShare(4.0, 4.0, now);
    now += std::chrono::seconds(5);
    for (int i = 0; i < 4; ++i) {
        REQUIRE(bucket.allows(0.0, now));
        bucket.spend(now);
    }
    bucket.setShare(8.0, 8.0, now);
    CHECK_FALSE(bucket.allows(0.0, now));
    CHECK(bucket.allows(0.0, now + milliseconds(130)));
}

TEST_CASE("a bucket keeps a reserve for more urgent requests")
{
    LimitBucket bucket;
    Instant now {std::chrono::seconds(1)};
    bucket.setShare(4.0, 4.0, now);
    now += std::chrono::seconds(5);
    bucket.spend(now);
    bucket.spend(now);
    CHECK_FALSE(bucket.allows(1.5, now));
    CHECK(bucket.allows(1.0, now));
}

TEST_CASE("instances that lend and borrow let through no more than their rates together")
{
    rc::prop("for any lenders and borrowers", [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        constexpr std::size_t instances = 6;
        const double rate = std::uniform_real_distribution<double>(0.2, 6.0)(random);
        std::vector<LimitBucket> buckets(instances);
        const Instant start {std::chrono::seconds(1)};
        for (LimitBucket &bucket : buckets) {
            bucket.setShare(rate, std::max(rate, 1.0), start);
        }
        std::uniform_int_distribution<std::size_t> any(0, instances - 1);
        std::uint32_t sent = 0;
        for (int ms = 0; ms < 30000; ms += 10) {
            const Instant now = start + milliseconds(ms);
            const std::size_t busy = static_cast<std::size_t>(ms / 3000) % instances;
            const std::size_t lender = any(random);
            if (lender != busy) {
                buckets[busy].borrow(buckets[lender].lend(2, 0.0, now),
                                     now + LimitBucket::loanLifetime);
            }
            while (buckets[busy].allows(0.0, now)) {
                buckets[busy].spend(now);
                ++sent;
            }
            const double allowed = instances * (rate * ms / 1000.0 + std::max(rate, 1.0));
            RC_ASSERT(sent <= allowed);
        }
    });
}

TEST_CASE("a loan expires")
{
    LimitBucket bucket;
    const Instant now {std::chrono::seconds(1)};
    bucket.borrow(1, now + LimitBucket::loanLifetime);
    CHECK(bucket.allows(5.0, now));
    CHECK_FALSE(bucket.allows(0.0, now + LimitBucket::loanLifetime));
}

TEST_CASE("a limit is divided among all members if each can send a request now and then")
{
    CHECK(limitHolders(members(8), TargetId("t"), 33.0).size() == 8);
    CHECK(limitHolders(members(195), TargetId("t"), 15.0).size() == 15);
    CHECK(limitHolders(members(195), TargetId("t"), 1.4).size() == 1);
    CHECK(limitHolders(members(3), TargetId("t"), 0.25).size() == 1);
    CHECK(limitHolders({}, TargetId("t"), 0.25).empty());
}

TEST_CASE("every instance finds the same holders, and the loss of a member moves only its share")
{
    const std::vector<MemberRecord> all = members(195);
    std::vector<MemberRecord> shuffled = all;
    std::ranges::shuffle(shuffled, std::mt19937(3));
    std::size_t moved = 0;
    for (int target = 0; target < 20; ++target) {
        const TargetId id("t" + std::to_string(target));
        const std::vector<MemberRecord> holders = limitHolders(all, id, 15.0);
        const std::vector<MemberRecord> same = limitHolders(shuffled, id, 15.0);
        CHECK(std::ranges::is_permutation(holders, same));
        std::vector<MemberRecord> rest = all;
        std::erase(rest, holders.front());
        const std::vector<MemberRecord> after = limitHolders(rest, id, 15.0);
        moved += static_cast<std::size_t>(std::ranges::count_if(
                after, [&](const MemberRecord &member) { return !contains(holders, member); }));
    }
    CHECK(moved == 20);
}
