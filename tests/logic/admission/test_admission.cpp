#include "logic/admission/admission.h"

#include "logic/context.h"
#include "logic/events.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace lagoondeck;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    explicit Fixture(Admission::LimitsProvider limitsProvider = nullptr)
        : admission({}, std::move(limitsProvider))
    {
        this->entry.name = EntryName("fit-check");
        this->entry.service = ServiceName("fit");
    }

    std::optional<Refusal> submit(const std::string &caller = "line", Duration timeLimit = {})
    {
        CallerRequest request;
        request.entry = this->entry.name;
        request.caller = CallerName(caller);
        request.timeLimit = timeLimit;
        Context context {this->now, WallTime {}, this->effects, this->random, this->ids};
        return this->admission.admit(request, this->entry, context);
    }

    void complete(Duration elapsed, Outcome outcome = Outcome::Answered,
                  FailureReason reason = FailureReason::None)
    {
        Answer answer;
        answer.outcome = outcome;
        answer.reason = reason;
        answer.elapsed = elapsed;
        Context context {this->now, WallTime {}, this->effects, this->random, this->ids};
        this->admission.onFinished(this->entry.name, answer, context);
    }

    CatalogueEntry entry;
    Instant now {1s};
    std::vector<Effect> effects;
    RandomEngine random {5};
    IdSource ids;
    Admission admission;
};

} // namespace

TEST_CASE("Queries above the concurrency limit are refused until an earlier one ends")
{
    Fixture fixture;
    fixture.entry.concurrency = 2;
    CHECK_FALSE(fixture.submit());
    CHECK_FALSE(fixture.submit());
    const auto refusal = fixture.submit();
    REQUIRE(refusal);
    CHECK(refusal->reason == FailureReason::ConcurrencyLimited);
    CHECK(refusal->retryAfter > 0ms);
    CHECK(fixture.admission.isOverloaded(fixture.entry.name));
    CHECK(fixture.admission.inFlight(fixture.entry.name) == 2);
    fixture.complete(20ms);
    CHECK_FALSE(fixture.submit());
}

TEST_CASE("This instance's share applies instead of the limit for the whole cell")
{
    Fixture fixture([](const CatalogueEntry &) { return NodeLimits {40.0, 3}; });
    fixture.entry.concurrency = 100;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(fixture.submit());
    }
    CHECK(fixture.submit()->reason == FailureReason::ConcurrencyLimited);
}

TEST_CASE("A query whose deadline is shorter than any observed answer is refused as too short")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.submit();
        fixture.now += 100ms;
        fixture.complete(60ms);
    }
    CHECK_FALSE(fixture.submit("line", 100ms));
    CHECK(fixture.submit("line", 10ms)->reason == FailureReason::DeadlineTooShort);
}

TEST_CASE("A query that would be answered after its deadline is refused at once")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.submit();
        fixture.now += 100ms;
        fixture.complete(60ms);
    }
    const auto refusal = fixture.submit("line", 40ms);
    REQUIRE(refusal);
    CHECK(refusal->reason == FailureReason::Overloaded);
}

TEST_CASE("Missed deadlines shrink the concurrency limit, timely answers raise it")
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 100; ++i) {
        limit.onMissed(10);
    }
    CHECK(limit.value() < 5.0);
    const double low = limit.value();
    for (int i = 0; i < 400; ++i) {
        limit.onAnswered(0.2, static_cast<std::uint32_t>(limit.value()) + 1);
    }
    CHECK(limit.value() > 2 * low);
}

TEST_CASE("The concurrency limit decays to a small headroom while few queries are in flight")
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 2000; ++i) {
        limit.onAnswered(0.2, 1);
    }
    CHECK(limit.value() < 9.0);
    CHECK(limit.value() > 7.0);
}

TEST_CASE("The retry delay grows with the fraction of queries that are refused")
{
    Fixture fixture;
    fixture.entry.concurrency = 1;
    CHECK_FALSE(fixture.submit());
    Duration first {};
    Duration last {};
    for (int i = 0; i < 400; ++i) {
        fixture.now += 1ms;
        const auto refusal = fixture.submit();
        REQUIRE(refusal);
        CHECK(refusal->retryAfter <= 5s);
        (i < 2 ? first : last) += refusal->retryAfter;
    }
    CHECK(last / 398 > 3 * (first / 2));
}

TEST_CASE("The entry's rate and concurrency limits are never exceeded")
{
    const bool holds = rc::check("rate and concurrency", [] {
        Fixture fixture;
        fixture.entry.concurrency = *rc::gen::inRange(1U, 12U);
        fixture.entry.ratePerSecond = *rc::gen::inRange(1, 400);
        const Instant start = fixture.now;
        std::uint32_t inFlight = 0;
        double admitted = 0.0;
        for (int step = 0; step < 300; ++step) {
            fixture.now += 1ms * *rc::gen::inRange(0, 20);
            if (*rc::gen::inRange(0, 3) == 0 && inFlight > 0) {
                --inFlight;
                fixture.complete(1ms * *rc::gen::inRange(1, 160));
            } else if (!fixture.submit(*rc::gen::element<std::string>("a", "b", "c"))) {
                ++inFlight;
                admitted += 1.0;
            }
            const std::chrono::duration<double> since = fixture.now - start;
            const double burst = std::max(1.0, fixture.entry.ratePerSecond / 4);
            RC_ASSERT(inFlight <= fixture.entry.concurrency);
            RC_ASSERT(admitted <= burst + fixture.entry.ratePerSecond * since.count() + 1e-6);
            RC_ASSERT(fixture.admission.inFlight(fixture.entry.name) == inFlight);
        }
    });
    CHECK(holds);
}
