#include "logic/workload/fair_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace lagoondeck;

namespace {

WaitingPart part(std::uint64_t id)
{
    return {ExchangeId(id), 0};
}

/// Takes all parts and returns the numbers of their exchanges in this order.
std::vector<std::uint64_t> takeAll(FairQueue &queue)
{
    std::vector<std::uint64_t> order;
    while (const FairQueue::Entry *entry = queue.next()) {
        order.push_back(entry->part.exchange.value);
        queue.takeNext();
    }
    return order;
}

} // namespace

// Guards against an order that differs from the one before where there is only one sender.
TEST_CASE("parts of one caller are taken in the order of their arrival")
{
    FairQueue queue;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        queue.add(part(id), {0, "a", "x"}, Instant::max());
    }
    CHECK(takeAll(queue) == std::vector<std::uint64_t> {1, 2, 3, 4, 5});
}

// Guards against an account, or a caller of an account, that is served more often because it sends
// more.
TEST_CASE("accounts and callers take turns")
{
    FairQueue queue;
    queue.add(part(1), {0, "a", "x"}, Instant::max());
    queue.add(part(2), {0, "a", "x"}, Instant::max());
    queue.add(part(3), {0, "a", "x"}, Instant::max());
    queue.add(part(4), {0, "a", "y"}, Instant::max());
    queue.add(part(5), {0, "b", "z"}, Instant::max());
    queue.add(part(6), {0, "b", "z"}, Instant::max());
    CHECK(takeAll(queue) == std::vector<std::uint64_t> {1, 5, 4, 6, 2, 3});
}

TEST_CASE("a more urgent part is taken first")
{
    FairQueue queue;
    queue.add(part(1), {1, "a", "x"}, Instant::max());
    queue.add(part(2), {0, "b", "y"}, Instant::max());
    CHECK(queue.last()->part == part(1));
    CHECK(takeAll(queue) == std::vector<std::uint64_t> {2, 1});
}

// Guards against an account that waits for all others although it sends less than its share.
TEST_CASE("an account that had no turn lately is next")
{
    FairQueue queue;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        queue.add(part(id), {0, "account" + std::to_string(id % 10), "x"}, Instant::max());
    }
    queue.add(part(100), {0, "light", "x"}, Instant::max());
    while (queue.next()->part != part(100)) {
        queue.takeNext();
    }
    queue.takeNext();
    for (int i = 0; i < 15; ++i) {
        queue.takeNext();
    }
    queue.add(part(101), {0, "light", "x"}, Instant::max());
    CHECK(queue.next()->part == part(101));
}

// Guards against an account that saves turns without limit and then displaces the others.
TEST_CASE("an account does not save many turns")
{
    FairQueue queue;
    queue.add(part(1), {0, "light", "x"}, Instant::max());
    queue.takeNext();
    for (std::uint64_t id = 2; id <= 200; ++id) {
        queue.add(part(id), {0, "busy", "x"}, Instant::max());
    }
    for (int i = 0; i < 100; ++i) {
        queue.takeNext();
    }
    for (std::uint64_t id = 1001; id <= 1030; ++id) {
        queue.add(part(id), {0, "light", "x"}, Instant::max());
    }
    int light = 0;
    for (int i = 0; i < 30; ++i) {
        light += queue.next()->part.exchange.value > 1000 ? 1 : 0;
        queue.takeNext();
    }
    CHECK(light >= 15);
    CHECK(light <= 15 + 8);
}

// Guards against priorities and accounts that are not served at all while more urgent ones are.
TEST_CASE("a less urgent account is served a quarter as often as all")
{
    FairQueue queue;
    std::uint64_t id = 0;
    std::map<std::string, int> offered;
    std::map<std::string, int> served;
    std::map<std::uint64_t, std::string> accounts;
    const auto offer = [&](std::uint32_t rank, const std::string &account) {
        ++offered[account];
        accounts[++id] = account;
        queue.add(part(id), {rank, account, "x"}, Instant::max());
    };
    for (int round = 0; round < 2000; ++round) {
        offer(0, "urgent");
        offer(0, "urgent");
        offer(0, "urgent");
        offer(1, "less");
        ++served[accounts[queue.next()->part.exchange.value]];
        queue.takeNext();
        while (queue.size() > 30) {
            queue.remove(queue.last()->part);
        }
    }
    const double all = (served["urgent"] + served["less"]) / 8000.0;
    CAPTURE(served["urgent"], served["less"], all);
    CHECK(served["less"] / 2000.0 >= all / 4);
    CHECK(served["less"] / 2000.0 < all / 2);
    CHECK(queue.servedByGuarantee() > 0);
}

// Guards against memory that grows with the number of callers that were ever seen.
TEST_CASE("senders without waiting parts are forgotten")
{
    FairQueue queue;
    for (std::uint64_t id = 1; id <= 20000; ++id) {
        queue.add(part(id), {0, "account" + std::to_string(id), std::to_string(id)},
                  Instant::max());
        queue.remove(part(id));
    }
    CHECK(queue.rememberedSenders() <= 200);
    CHECK(queue.size() == 0);
    CHECK(queue.next() == nullptr);
    CHECK(queue.last() == nullptr);
}

// Guards against an estimate that counts parts which are served later, so that a request which
// could be served would be refused.
TEST_CASE("no fewer parts are taken before a new one than were counted")
{
    rc::check("countAhead() is a lower bound", [] {
        FairQueue queue;
        std::uint64_t id = 0;
        const auto sender = [] {
            return WaitingSender {*rc::gen::inRange(0U, 3U),
                                  "a" + std::to_string(*rc::gen::inRange(0, 4)),
                                  "c" + std::to_string(*rc::gen::inRange(0, 3))};
        };
        const int steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::inRange(0, 3) > 0 || queue.size() == 0) {
                queue.add(part(++id), sender(), Instant::max());
            } else {
                queue.takeNext();
            }
        }
        const WaitingSender next = sender();
        const std::size_t ahead = queue.countAhead(next);
        queue.add(part(++id), next, Instant::max());
        const std::vector<std::uint64_t> order = takeAll(queue);
        const auto position = std::find(order.begin(), order.end(), id) - order.begin();
        RC_ASSERT(static_cast<std::size_t>(position) >= ahead);
    });
}

// Guards against counts and orders that disagree after parts were removed from the middle.
TEST_CASE("every part is taken or removed exactly once")
{
    rc::check("each part is in the queue until it is taken or removed", [] {
        FairQueue queue;
        std::uint64_t id = 0;
        std::vector<std::uint64_t> expected;
        const int steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 5);
            if (action <= 2 || expected.empty()) {
                expected.push_back(++id);
                queue.add(part(id),
                          {*rc::gen::inRange(0U, 2U), "a" + std::to_string(*rc::gen::inRange(0, 4)),
                           "c" + std::to_string(*rc::gen::inRange(0, 3))},
                          Instant::max());
            } else if (action == 3) {
                std::erase(expected, queue.next()->part.exchange.value);
                queue.takeNext();
            } else {
                const auto victim = *rc::gen::elementOf(expected);
                std::erase(expected, victim);
                queue.remove(part(victim));
            }
            RC_ASSERT(queue.size() == expected.size());
        }
        std::vector<std::uint64_t> left = takeAll(queue);
        std::sort(left.begin(), left.end());
        RC_ASSERT(left == expected);
    });
}
