#include "logic/placement/lost_domains.h"

#include <catch2/catch.hpp>
#include <string>

using namespace lagoondeck;
using std::chrono::milliseconds;

namespace {

const FailureDomain lost("x");
const FailureDomain other("y");

TargetId targetOf(int number)
{
    return TargetId("t" + std::to_string(number));
}

/// Applies events to LostDomains on a simulated clock.
struct Observation
{
    void reply(const FailureDomain &domain, int target = 0)
    {
        this->returned = this->domains.onReply(domain, targetOf(target), this->now);
    }
    /// A target failed to which a request was sent `age` ago.
    void fail(int target, Duration age = milliseconds(60))
    {
        this->domains.onFailure(lost, targetOf(target), this->now - age, this->now);
    }
    bool isLost(std::size_t usableTargets = 10)
    {
        bool found = false;
        for (const FailureDomain &domain : this->domains.suspects(this->now)) {
            found = this->domains.confirm(domain, usableTargets, this->now) || found;
        }
        return found || this->domains.lostCount() > 0;
    }
    /// Makes the domain lost by the pattern that the first test names.
    void lose()
    {
        this->reply(lost);
        this->now += milliseconds(100);
        for (int target = 1; target <= 3; ++target) {
            this->fail(target);
            this->now += milliseconds(5);
        }
        this->reply(other);
        REQUIRE(this->isLost());
    }

    LostDomains domains;
    std::optional<Duration> returned;
    Instant now {std::chrono::seconds(100)};
};

} // namespace

TEST_CASE("lost domain: three targets fail, no other replies, and another domain does")
{
    Observation seen;
    seen.reply(lost);
    seen.reply(other);
    seen.now += milliseconds(100);
    seen.fail(1);
    seen.fail(2);
    seen.reply(other);
    CHECK_FALSE(seen.isLost());
    seen.fail(3);
    CHECK(seen.isLost());
    CHECK(seen.domains.isAvoided(lost, seen.now));
    CHECK_FALSE(seen.domains.isAvoided(other, seen.now));
}

TEST_CASE("lost domain: one target that fails many times is not a lost domain")
{
    Observation seen;
    for (int i = 0; i < 20; ++i) {
        seen.fail(1);
        seen.reply(other);
        seen.now += milliseconds(70);
    }
    CHECK_FALSE(seen.isLost());
}

TEST_CASE("lost domain: failed targets among others that reply are not a lost domain")
{
    Observation seen;
    for (int i = 0; i < 20; ++i) {
        seen.fail(1 + i % 3);
        seen.reply(other);
        if (i % 2 == 1) {
            seen.reply(lost, 9);
        }
        CHECK_FALSE(seen.isLost());
        seen.now += milliseconds(70);
    }
}

TEST_CASE("lost domain: failures at the same time as replies of the domain don't suffice")
{
    // Three targets crash at once while the domain's other targets serve.
    Observation seen;
    seen.reply(lost, 9);
    seen.now += milliseconds(1);
    seen.fail(1, milliseconds(1));
    seen.fail(2, milliseconds(1));
    seen.fail(3, milliseconds(1));
    seen.reply(other);
    CHECK_FALSE(seen.isLost());
    seen.now += milliseconds(20);
    seen.reply(lost, 9);
    seen.now += milliseconds(100);
    CHECK_FALSE(seen.isLost());
}

TEST_CASE("lost domain: refused connections don't suffice before the other targets can reply")
{
    Observation seen;
    for (int target = 1; target <= 3; ++target) {
        seen.fail(target, milliseconds(1));
    }
    seen.now += milliseconds(10);
    seen.reply(other);
    CHECK_FALSE(seen.isLost());
    seen.now += milliseconds(50);
    SECTION("another target replies")
    {
        seen.reply(lost, 9);
        CHECK_FALSE(seen.isLost());
    }
    SECTION("none replies")
    {
        CHECK(seen.isLost());
    }
}

TEST_CASE("lost domain: paused targets among others that replied to the same query don't suffice")
{
    Observation seen;
    const Instant sentAt = seen.now;
    seen.now += milliseconds(25);
    seen.reply(lost, 9);
    seen.now += milliseconds(80);
    for (int target = 1; target <= 4; ++target) {
        seen.fail(target, seen.now - sentAt);
    }
    seen.now += milliseconds(10);
    seen.reply(other);
    CHECK_FALSE(seen.isLost());
}

TEST_CASE("lost domain: slow requests from before the domain's last reply are no evidence")
{
    Observation seen;
    seen.reply(lost, 9);
    seen.now += milliseconds(200);
    // The requests were sent long before the reply.
    for (int target = 1; target <= 4; ++target) {
        seen.fail(target, milliseconds(500));
    }
    seen.reply(other);
    CHECK_FALSE(seen.isLost());
}

TEST_CASE("lost domain: without a reply from elsewhere the instance's own path may be broken")
{
    Observation seen;
    seen.reply(lost);
    seen.reply(other);
    seen.now += milliseconds(100);
    for (int target = 1; target <= 8; ++target) {
        seen.fail(target);
    }
    CHECK_FALSE(seen.isLost());
    seen.now += milliseconds(10);
    seen.reply(other);
    CHECK(seen.isLost());
}

TEST_CASE("lost domain: failures that are far apart don't add up")
{
    Observation seen;
    for (int target = 1; target <= 5; ++target) {
        seen.fail(target);
        seen.reply(other);
        CHECK_FALSE(seen.isLost());
        seen.now += std::chrono::milliseconds(1500);
    }
}

TEST_CASE("lost domain: a domain with two targets needs both, one with a single target is never "
          "lost")
{
    Observation seen;
    seen.fail(1);
    seen.reply(other);
    CHECK_FALSE(seen.isLost(1));
    CHECK_FALSE(seen.isLost(2));
    seen.fail(2);
    seen.reply(other);
    CHECK_FALSE(seen.isLost(1));
    CHECK(seen.isLost(2));
}

TEST_CASE("lost domain: one target at a time is tried, less often after each failure")
{
    Observation seen;
    seen.lose();
    std::vector<Duration> gaps;
    Instant previous = seen.now;
    for (int trial = 0; trial < 6; ++trial) {
        while (seen.domains.isAvoided(lost, seen.now)) {
            seen.now += milliseconds(10);
        }
        gaps.push_back(seen.now - previous);
        previous = seen.now;
        seen.domains.onSent(lost, seen.now);
        CHECK(seen.domains.isAvoided(lost, seen.now));
    }
    CHECK(gaps.front() <= milliseconds(510));
    CHECK(std::ranges::is_sorted(gaps));
    CHECK(gaps.back() >= milliseconds(3900));
    CHECK(gaps.back() <= milliseconds(4100));
}

TEST_CASE("lost domain: it is given back when two targets reply, not after one")
{
    Observation seen;
    seen.lose();
    seen.now += milliseconds(600);
    seen.domains.onSent(lost, seen.now);
    seen.now += milliseconds(20);
    seen.reply(lost, 4);
    CHECK_FALSE(seen.returned);
    // The next one may be tried at once, but only that one.
    CHECK_FALSE(seen.domains.isAvoided(lost, seen.now));
    seen.domains.onSent(lost, seen.now);
    CHECK(seen.domains.isAvoided(lost, seen.now));
    seen.now += milliseconds(20);
    seen.reply(lost, 4);
    CHECK_FALSE(seen.returned);
    seen.reply(lost, 5);
    CHECK(seen.returned);
    CHECK(seen.domains.lostCount() == 0);
    CHECK_FALSE(seen.domains.isAvoided(lost, seen.now));
}

TEST_CASE("lost domain: a trial that fails after a reply begins the return anew")
{
    Observation seen;
    seen.lose();
    seen.now += milliseconds(600);
    seen.domains.onSent(lost, seen.now);
    seen.now += milliseconds(20);
    seen.reply(lost, 4);
    seen.domains.onSent(lost, seen.now);
    seen.now += milliseconds(61);
    seen.fail(5, milliseconds(60));
    seen.reply(lost, 6);
    CHECK_FALSE(seen.returned);
    CHECK(seen.domains.lostCount() == 1);
}
